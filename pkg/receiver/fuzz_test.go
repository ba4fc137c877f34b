package receiver

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
)

// FuzzJob checks that, for any request body, an accepted job is within the limits and names its
// caller, its team and existing failure domains, and that any other body gets a 4xx status.
func FuzzJob(f *testing.F) {
	for _, seed := range []string{
		`{"submission":"s","job":"j","caller":"c","team":"t","class":"k","tasks":[{"task":"a","payload":{"x":1}}]}`,
		`{"submission":"s","job":"j","caller":"c","team":"t","class":"k","may-run":["tan-binh"],"deadline":"2100-01-01T00:00:00Z","tasks":[{"task":"a","declared-run-time":"1ms"}]}`,
		`{"submission":"s","tasks":[{"task":"a"},{"task":"a"}]}`, `[]`, `{`, `{"may-run":["x"]}`, `{"deadline":"9999-99-99T00:00:00Z"}`,
	} {
		f.Add([]byte(seed))
	}
	fixture := newFixture()
	limits := fixture.receiver.limits.Load()
	f.Fuzz(func(t *testing.T, body []byte) {
		request := httptest.NewRequest(http.MethodPost, "/v1/jobs", bytes.NewReader(body))
		job, _, size, problem := fixture.receiver.readWithDeadline(httptest.NewRecorder(), request)
		if problem != nil {
			if problem.status < 400 || problem.status > 499 || problem.Kind == "" {
				t.Errorf("%q gives %+v", body, problem)
			}
			return
		}
		if size > int64(limits.RequestBody) || len(job.Tasks) == 0 || len(job.Tasks) > limits.TasksPerJob {
			t.Errorf("%q of %d bytes gives %d tasks", body, size, len(job.Tasks))
		}
		if job.Submission == "" || job.Caller == "" || job.Team == "" || len(job.MayRun) == 0 {
			t.Errorf("%q gives %+v", body, job)
		}
		for _, domain := range job.MayRun {
			if domain != "thu-duc" && domain != "tan-binh" {
				t.Errorf("%q may run in %q", body, domain)
			}
		}
	})
}
