package sheet

import (
	"bytes"
	"encoding/csv"
	"slices"
	"strconv"
	"strings"

	"github.com/sesamelift/sesamelift/config"
)

// Format returns the configuration as a sheet that Parse accepts, so that a
// version can be edited in a spreadsheet program.
func Format(c *config.Config) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	header := columns[:slices.Index(columns, columnNote)]
	// The error of Write is ignored: writing to a bytes.Buffer does not fail.
	write := func(cells map[string]string) {
		record := make([]string, len(header))
		for i, name := range header {
			record[i] = cells[name]
		}
		_ = w.Write(record)
	}
	_ = w.Write(header)
	for _, s := range c.Services {
		for _, t := range s.Types {
			write(map[string]string{
				columnKind: string(config.KindService), columnService: s.Name, columnType: t.Name,
				columnDeadline: strconv.FormatInt(t.DeadlineMS, 10), columnIdempotent: yesNo(t.Idempotent),
			})
		}
	}
	for _, t := range c.Teams {
		write(map[string]string{
			columnKind: string(config.KindTeam), columnTeam: t.Name,
			columnQuota: strconv.Itoa(t.Quota), columnWeight: strconv.Itoa(t.Weight),
		})
	}
	for _, worker := range c.Workers {
		write(map[string]string{
			columnKind: string(config.KindWorker), columnWorker: worker.Name,
			columnServices: strings.Join(worker.Services, " "), columnDrain: yesNo(worker.Drain),
		})
	}
	w.Flush()
	return b.Bytes()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
