package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
)

const (
	downloadBytes = 4 << 20
	// downloadRate makes the backend server take a second for the download.
	downloadRate = downloadBytes
	// splitCalls is the number of calls to the split route, and splitCallers how many are made at a time.
	splitCalls   = 600
	splitCallers = 6
	// splitPercent is the share of the first pool of the split route, and maxShareError by how much the observed one may differ.
	splitPercent  = 80
	maxShareError = 0.02
	// pipelinedCalls are sent in one piece; each takes pipelinedTime at the backend server.
	pipelinedCalls = 4
	pipelinedTime  = 200 * time.Millisecond
	// trafficTimeout bounds each of the observations.
	trafficTimeout = 10 * time.Second
)

// feature is what a step of the demo observed, and how that differs from what the system promises, "" if it does not.
type feature struct{ seen, fault string }

// observeTraffic shows a download that is forwarded while it is received, a traffic split and a pipelined connection.
func (d *demo) observeTraffic(ctx context.Context) error {
	for _, watch := range []func(context.Context) (feature, error){d.watchDownload, d.watchSplit, d.watchPipeline} {
		watchCtx, cancel := context.WithTimeout(ctx, trafficTimeout)
		f, err := watch(watchCtx)
		cancel()
		if err != nil {
			return oops.In("demo").Wrap(err)
		}
		d.logf("%s", f.seen)
		d.observed.features = append(d.observed.features, f)
	}
	return nil
}

func get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}

// watchDownload reads a long response through n2, which has no upstream of its service beside it.
func (d *demo) watchDownload(ctx context.Context) (feature, error) {
	url := fmt.Sprintf("http://%s/documents/plan?%s=%d&%s=%d", d.places[1].Callers, backend.ParameterBytes, downloadBytes, backend.ParameterRate, downloadRate)
	began := time.Now()
	response, err := get(ctx, url)
	if err != nil {
		return feature{}, err
	}
	defer response.Body.Close()
	body := bufio.NewReader(response.Body)
	if _, err := body.Peek(1); err != nil {
		return feature{}, err
	}
	first := time.Since(began)
	content, err := io.ReadAll(body)
	if err != nil {
		return feature{}, err
	}
	return judgeDownload(content, first, time.Since(began)), nil
}

// judgeDownload requires the content that the backend server sent and a first byte before half of it had been sent.
func judgeDownload(content []byte, first, last time.Duration) feature {
	f := feature{seen: fmt.Sprintf("download of %d KiB through two nodes: first byte after %v, last after %v",
		len(content)>>10, first.Round(time.Millisecond), last.Round(time.Millisecond))}
	switch {
	case !bytes.Equal(content, backend.DownloadContent(downloadBytes)):
		f.fault = "download is not what the backend server sent"
	case first > last/2:
		f.fault = fmt.Sprintf("download was not forwarded while it was received: its first byte came after %v of %v", first, last)
	}
	return f
}

// watchSplit makes calls to the split route through three nodes and counts the services that answer.
func (d *demo) watchSplit(ctx context.Context) (feature, error) {
	var mu sync.Mutex
	answers := map[string]int{}
	var group sync.WaitGroup
	for caller := range splitCallers {
		group.Go(func() {
			for i := range splitCalls / splitCallers {
				service := "none"
				response, err := get(ctx, fmt.Sprintf("http://%s/offers/%d-%d", d.places[caller%3].Callers, caller, i))
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body) // a response that breaks off still says which service gave it
					response.Body.Close()
					if response.StatusCode == http.StatusOK {
						service = response.Header.Get(backend.HeaderService)
					}
				}
				mu.Lock()
				answers[service]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return judgeSplit(answers), ctx.Err()
}

// judgeSplit requires an answer of one of the two services to each call, in the shares of the route.
func judgeSplit(answers map[string]int) feature {
	first, second := answers["stitchroom"], answers["cuttable"]
	f := feature{seen: fmt.Sprintf("split of %d:%d over %d calls: %d answered by stitchroom, %d by cuttable", splitPercent, 100-splitPercent, splitCalls, first, second)}
	share := float64(first) / splitCalls
	switch {
	case first+second != splitCalls:
		f.fault = fmt.Sprintf("%d calls to the split route were not answered by one of its services", splitCalls-first-second)
	case math.Abs(share-splitPercent/100.0) > maxShareError:
		f.fault = fmt.Sprintf("split gave stitchroom a share of %.3f, expected %.2f", share, splitPercent/100.0)
	}
	return f
}

// watchPipeline sends several requests in one piece on one connection to n1 and reads their responses.
func (d *demo) watchPipeline(ctx context.Context) (feature, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.places[0].Callers)
	if err != nil {
		return feature{}, err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return feature{}, err
		}
	}
	var requests strings.Builder
	for i := range pipelinedCalls {
		fmt.Fprintf(&requests, "GET %s?%s=%v HTTP/1.1\r\nHost: demo\r\n\r\n", pipelinedPath(i), backend.ParameterTime, pipelinedTime)
	}
	began := time.Now()
	if _, err := io.WriteString(conn, requests.String()); err != nil {
		return feature{}, err
	}
	var bodies []string
	for reader := bufio.NewReader(conn); len(bodies) < pipelinedCalls; {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return feature{}, err
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return feature{}, err
		}
		bodies = append(bodies, string(body))
	}
	return judgePipeline(bodies, time.Since(began)), nil
}

func pipelinedPath(i int) string { return fmt.Sprintf("/catalogue/pipelined-%d", i) }

// judgePipeline requires the responses in the order of the requests, sooner than requests one after the other would take.
func judgePipeline(bodies []string, took time.Duration) feature {
	f := feature{seen: fmt.Sprintf("%d requests of %v each, pipelined on one connection: answered in order after %v", len(bodies), pipelinedTime, took.Round(time.Millisecond))}
	for i, body := range bodies {
		if !strings.Contains(body, " "+pipelinedPath(i)+" ") {
			f.seen = fmt.Sprintf("%d pipelined requests: response %d is %q", len(bodies), i, body)
			f.fault = "pipelined requests were not answered in their order"
			return f
		}
	}
	if took >= pipelinedCalls*pipelinedTime {
		f.fault = fmt.Sprintf("pipelined requests ran one after the other, for %v", took)
	}
	return f
}
