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

// A program looks up an object at the gateway on the same host and carries out its attempts over HTTP.
func ExampleClient_Lookup() {
	conn, err := grpc.NewClient("unix:/run/foldslip/door", grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer conn.Close()
	request := client.Request{
		Path:   "/call/segment/7f3a9c21e0b4d655/part-3",
		Header: http.Header{"X-Job-Id": {"9b1f03aa5c7e2d41"}, "X-Ram-Kb": {"420"}},
	}
	fetch := func(ctx context.Context, decision client.Decision) client.AttemptOutcome {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+decision.Addr+"/7f3a9c21e0b4d655/part-3", nil)
		if err != nil {
			return client.AttemptOutcome{Word: client.WordLate} // the request was never sent
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return client.AttemptOutcome{Word: client.WordReset} // the request may have run
		}
		defer response.Body.Close()
		createdAt, _ := time.Parse(http.TimeFormat, response.Header.Get("Last-Modified"))
		return client.AttemptOutcome{Word: client.WordHit, CreatedAt: createdAt, ETag: response.Header.Get("ETag")}
	}
	result, err := client.New(conn).Lookup(context.Background(), request, fetch)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(result.Kind, result.RetryAfter)
}
