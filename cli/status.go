package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cyclamenyard/cyclamenyard/config"
	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/gateway"
	"github.com/cyclamenyard/cyclamenyard/instance"
	"github.com/cyclamenyard/cyclamenyard/owner"
)

type statusCommand struct {
	output
	outputFlags
	adminFlags
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	raw, err := c.call(http.MethodGet, "/v1/status", nil)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		_, err = fmt.Fprintln(c.out, strings.TrimSpace(string(raw)))
		return err
	}
	var s instance.Status
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("admin listener %s: %w", c.Admin, err)
	}
	return renderStatus(c.out, s)
}

func renderStatus(out io.Writer, s instance.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "instance %s in %s: %s\n", s.Instance.ID, s.Instance.DataCentre, instanceState(s))
	fmt.Fprintf(w, "manifest revision %d, %s\n", s.Revision, manifestState(s.Config))
	fmt.Fprintln(w, "\nDATA CENTRE\tSTAGE\tOWNER\tTOKEN\tFREE ACCELERATORS\tQUEUED\tSTARTS")
	for _, d := range s.DataCentres {
		free, queued, token := "-", "-", "-"
		if d.Summary != nil {
			free, queued, token = fmt.Sprint(d.Summary.FreeAccelerators), fmt.Sprint(d.Summary.Queued), fmt.Sprint(d.Summary.Token)
		}
		starts := "allowed"
		if d.MayStart != "" {
			starts = "no: " + d.MayStart
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", d.Name, d.Stage, d.Owner, token, free, queued, starts)
	}
	for _, g := range s.Unplaced {
		fmt.Fprintf(w, "guarantee not met: workspace %s, %s: %d of %s have no place in the data centres in service\n", g.Workspace, g.Name, g.Count, g.Shape)
	}
	for _, o := range s.Owned {
		renderOwned(w, o)
	}
	fmt.Fprintln(w, "\nPEER\tDATA CENTRE\tSTATE")
	for _, p := range s.Members.Peers {
		fmt.Fprintf(w, "%s\t%s\t%s\n", p.Instance.ID, p.Instance.DataCentre, peerState(p.Lost, p.Leaving, p.Ready))
	}
	return w.Flush()
}

func instanceState(s instance.Status) string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	}
	return "not ready: no manifest revision is known yet"
}

func manifestState(c config.Status) string {
	if c.Fresh {
		return fmt.Sprintf("shown to be current at %s by %s", c.ConfirmedAt.Format(time.RFC3339Nano), c.Source)
	}
	return "not known to be current: this instance starts nothing"
}

func peerState(lost, leaving, ready bool) string {
	switch {
	case lost:
		return "lost"
	case leaving:
		return "leaving"
	case ready:
		return "ready"
	}
	return "not ready"
}

func renderOwned(w io.Writer, o owner.Status) {
	fmt.Fprintf(w, "\nowned: %s with token %d, %d decisions, %d slots in %d grants, %d record writes pending\n",
		o.DataCentre, o.Token, o.Decisions, o.GrantedSlots, o.Grants, o.PendingRecords)
	fmt.Fprintf(w, "  jobs: %v\n", o.Jobs)
	for _, g := range o.Guarantees {
		state := "met"
		if !g.Met {
			state = "not met"
		}
		fmt.Fprintf(w, "  guarantee of %s: %d accelerators, %d used, %d jobs queued: %s\n",
			g.Workspace, g.Guaranteed.Accelerators, g.Used.Accelerators, g.Queued, state)
	}
	states := map[string]int{}
	for _, x := range o.Workers {
		states[x.State]++
	}
	fmt.Fprintf(w, "  workers: %v\n", states)
}

// renderExplanation prints the decisions about a request or job in order of time, first those of the
// gateway, then those of each owner.
func renderExplanation(out io.Writer, e instance.Explanation) error {
	fmt.Fprintln(out, e.ID)
	for _, d := range e.Requests {
		fmt.Fprintf(out, "  %s %s: %s\n", formatTime(d.At), decisionSubject(d), decisionOutcome(d))
	}
	for _, o := range e.Owners {
		for _, d := range o.Decisions {
			fmt.Fprintf(out, "  %s owner of %s: %s: %s %s\n", formatTime(d.At), o.DataCentre, d.Kind, d.Reason, d.Detail)
		}
	}
	for _, dc := range e.Unreachable {
		fmt.Fprintf(out, "  the owner of %s does not answer\n", dc)
	}
	return nil
}

func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// decisionSubject returns the request or service that a decision concerns.
func decisionSubject(d gateway.Decision) string {
	if !d.Refused {
		return fmt.Sprintf("request to %s in %s, attempt %s", d.Worker, d.DataCentre, d.Attempt)
	}
	service := "service " + d.Service
	if d.Service == "" {
		service = "an invalid service name"
	}
	if errkind.AnswerOf(errkind.Kind(d.Kind)).RunState == errkind.NotRun {
		return "refused, " + service
	}
	return "not accepted, may have run, " + service
}

func decisionOutcome(d gateway.Decision) string {
	switch {
	case d.Refused:
		return fmt.Sprintf("%s: %s", d.Kind, d.Message)
	case d.Kind != "":
		return d.Kind
	case d.Ended:
		return fmt.Sprintf("answered after %v", d.Took.Round(time.Microsecond))
	}
	return "under way"
}

type explainCommand struct {
	output
	outputFlags
	adminFlags
	Args struct {
		ID string `positional-arg-name:"ID" description:"workspace/request-id"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	raw, err := c.call(http.MethodGet, "/v1/explain?id="+url.QueryEscape(c.Args.ID), nil)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		_, err = fmt.Fprintln(c.out, strings.TrimSpace(string(raw)))
		return err
	}
	var e instance.Explanation
	if err := json.Unmarshal(raw, &e); err != nil {
		return fmt.Errorf("admin listener %s: %w", c.Admin, err)
	}
	return renderExplanation(c.out, e)
}

func renderCommit(out io.Writer, raw []byte) error {
	var r config.CommitResult
	if err := json.Unmarshal(raw, &r); err != nil {
		return fmt.Errorf("decode commit reply: %w", err)
	}
	fmt.Fprintf(out, "committed revision %d, acknowledged by %d peers\n", r.Revision, len(r.Acked))
	if len(r.Missing) > 0 {
		fmt.Fprintf(out, "not acknowledged by %s: these start nothing once their manifest is not known to be current\n", strings.Join(r.Missing, ", "))
	}
	_, err := fmt.Fprintln(out, r.Report)
	return err
}
