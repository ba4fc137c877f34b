package loader

import (
	"fmt"
	"strings"
)

// oneOf joins the values that are allowed.
func oneOf(values []string) string {
	quoted := make([]string, len(values))
	for index, value := range values {
		quoted[index] = fmt.Sprintf("%q", value)
	}
	return strings.Join(quoted, " or ")
}

// didYouMean returns a hint at the value that text was most likely meant to be,
// or nothing if none is near.
func didYouMean(text string, values []string) string {
	// A long or foreign word is no slip of the pen, and comparing it is slow.
	const longestWord = 64
	if len(text) > longestWord {
		return ""
	}
	normal := strings.ReplaceAll(strings.ToLower(text), "_", "-")
	best, bestDistance := "", max(2, len(normal)/3)+1
	for _, value := range values {
		if distance := editDistance(normal, value); distance < bestDistance {
			best, bestDistance = value, distance
		}
	}
	if best == "" || bestDistance >= len(best) {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// editDistance counts the bytes to insert, delete or replace to turn first into
// second (Levenshtein).
func editDistance(first, second string) int {
	row := make([]int, len(second)+1)
	for column := range row {
		row[column] = column
	}
	for line := range len(first) {
		diagonal := row[0]
		row[0] = line + 1
		for column := range len(second) {
			cost := diagonal
			if first[line] != second[column] {
				cost++
			}
			diagonal = row[column+1]
			row[column+1] = min(cost, row[column]+1, diagonal+1)
		}
	}
	return row[len(second)]
}
