package client_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"foldslip/client"
)

// A program that makes its sends over HTTP asks the door of the gateway beside it.
func ExampleClient_Lookup() {
	conn, err := grpc.NewClient("unix:/run/foldslip/door", grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer conn.Close()
	header := http.Header{"X-Job-Id": {"9b1f03aa5c7e2d41"}, "X-Ram-Kb": {"420"}}
	outcome, err := client.New(conn).Lookup(context.Background(), client.Request{Path: "/call/segment/7f3a9c21e0b4d655/part-3", Header: header},
		func(ctx context.Context, d client.Decision) client.AttemptOutcome {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addr+"/7f3a9c21e0b4d655/part-3", nil)
			if err != nil {
				return client.AttemptOutcome{Word: "late"} // it never ran
			}
			answer, err := http.DefaultClient.Do(r)
			if err != nil {
				return client.AttemptOutcome{Word: "reset"} // it may have run
			}
			defer answer.Body.Close()
			born, _ := time.Parse(http.TimeFormat, answer.Header.Get("Last-Modified"))
			return client.AttemptOutcome{Word: "hit", CreatedAt: born, ETag: answer.Header.Get("ETag")}
		})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(outcome.Kind, outcome.RetryAfter)
}
