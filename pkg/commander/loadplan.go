package commander

import (
	"strconv"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/loadgenerator"
)

// loadPlanOptions override a plan. A nil one leaves the plan as it is.
type loadPlanOptions struct {
	Rate        *float64       `long:"rate" description:"jobs a second, all hosts together (20)"`
	Duration    *time.Duration `long:"duration" description:"how long jobs fall due (10s)"`
	Arrivals    *string        `long:"arrivals" choice:"poisson" choice:"even" description:"how their moments are spread (poisson)"`
	Seed        *uint64        `long:"seed" description:"the same seed gives the same jobs (1)"`
	InFlight    *int           `long:"in-flight" description:"the most jobs that wait for their answer (1024)"`
	Connections *int           `long:"connections" description:"the most connections to each host (128)"`
	Patience    *time.Duration `long:"patience" description:"how long an answer is waited for (30s)"`
	Widths      *string        `long:"widths" value-name:"TASKS[:WEIGHT],..." description:"how many tasks a job has (1,10,50)"`
	Classes     *string        `long:"classes" value-name:"NAME[:WEIGHT],..." description:"the classes of the jobs (counter)"`
	Teams       *string        `long:"teams" value-name:"NAME[:WEIGHT],..." description:"the teams of the jobs (estimates)"`
	RunTime     *string        `long:"run-time" value-name:"SHORTEST[-LONGEST]" description:"the run time of a task (50ms-120ms)"`
	Repeatable  *float64       `long:"repeatable" description:"the share of repeatable jobs, from 0 to 1 (1)"`
	Deadline    *time.Duration `long:"deadline" description:"the time that a job has; 0s sets no deadline (0s)"`
}

// override puts the given options in place of what the plan says. Classes and
// teams replace its mixes; what concerns jobs changes all mixes.
func (options *loadPlanOptions) override(plan *loadgenerator.Plan) error {
	set(&plan.Rate, options.Rate)
	setDuration(&plan.Duration, options.Duration)
	set(&plan.Seed, options.Seed)
	set(&plan.InFlight, options.InFlight)
	set(&plan.Connections, options.Connections)
	setDuration(&plan.Patience, options.Patience)
	if options.Arrivals != nil {
		arrivals, err := loadgenerator.ArrivalsString(*options.Arrivals)
		if err != nil {
			return malformed("%v", err)
		}
		plan.Arrivals = arrivals
	}
	if err := options.replaceMixes(plan); err != nil {
		return err
	}
	for index := range plan.Mixes {
		if err := options.overrideMix(&plan.Mixes[index]); err != nil {
			return err
		}
	}
	return nil
}

func set[T any](target, given *T) {
	if given != nil {
		*target = *given
	}
}

func setDuration(target *loader.Duration, given *time.Duration) {
	if given != nil {
		*target = loader.Duration(*given)
	}
}

// replaceMixes makes a mix for each class and team, with the weights multiplied.
func (options *loadPlanOptions) replaceMixes(plan *loadgenerator.Plan) error {
	if options.Classes == nil && options.Teams == nil {
		return nil
	}
	base := loadgenerator.DefaultMix()
	if len(plan.Mixes) > 0 {
		base = plan.Mixes[0]
	}
	classes, teams := string(base.Class), string(base.Team)
	set(&classes, options.Classes)
	set(&teams, options.Teams)
	plan.Mixes = nil
	for class := range strings.SplitSeq(classes, ",") {
		for team := range strings.SplitSeq(teams, ",") {
			mix := base
			className, classWeight, err := weighted(class)
			if err != nil {
				return err
			}
			teamName, teamWeight, err := weighted(team)
			if err != nil {
				return err
			}
			mix.Class, mix.Team = identifier.ClassName(className), identifier.TeamID(teamName)
			mix.Weight = classWeight * teamWeight
			plan.Mixes = append(plan.Mixes, mix)
		}
	}
	return nil
}

func (options *loadPlanOptions) overrideMix(mix *loadgenerator.Mix) error {
	set(&mix.RepeatableShare, options.Repeatable)
	setDuration(&mix.Deadline, options.Deadline)
	if options.RunTime != nil {
		if err := overrideRunTime(mix, *options.RunTime); err != nil {
			return err
		}
	}
	if options.Widths == nil {
		return nil
	}
	mix.Widths = nil
	for text := range strings.SplitSeq(*options.Widths, ",") {
		name, weight, err := weighted(text)
		if err != nil {
			return err
		}
		tasks, err := strconv.Atoi(name)
		if err != nil {
			return malformed("%q: a width must be a number of tasks, such as in \"1:3,50:1\"", text)
		}
		mix.Widths = append(mix.Widths, loadgenerator.Width{Tasks: tasks, Weight: weight})
	}
	return nil
}

func overrideRunTime(mix *loadgenerator.Mix, text string) error {
	shortest, longest, found := strings.Cut(text, "-")
	if !found {
		longest = shortest
	}
	for _, part := range []struct {
		text   string
		target *loader.Duration
	}{{shortest, &mix.ShortestRunTime}, {longest, &mix.LongestRunTime}} {
		parsed, err := time.ParseDuration(part.text)
		if err != nil {
			return malformed("%q: a run time must be such as \"5ms\" or \"50ms-120ms\"", text)
		}
		*part.target = loader.Duration(parsed)
	}
	return nil
}
