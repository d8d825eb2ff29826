package claim_test

import (
	"context"
	"fmt"
	"net/http/httptest"

	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/request/claim"
	"github.com/jayridge/jayridge/request/result"
)

// A retry of a finished call gets the stored response and does not run.
func ExampleStore() {
	service := httptest.NewServer(kv.New())
	defer service.Close()
	client, _ := httpkv.New(httpkv.DefaultConfig(service.URL))
	defer client.Close()
	store, _ := claim.NewStore(client, claim.DefaultConfig("basket-app"), "sidecar-1")
	ctx := context.Background()

	key := claim.KeyOf("drivers", "booking-17")
	first, _ := store.Claim(ctx, key, 42)
	fmt.Println(first.Kind)
	store.Finish(key, claim.Response{Code: result.OK, Status: 201, Body: []byte("booked")})

	retry, _ := store.Claim(ctx, key, 42)
	fmt.Println(retry.Kind, retry.Response.Status, string(retry.Response.Body))
	other, _ := store.Claim(ctx, key, 43)
	fmt.Println(other.Kind)
	_ = store.Close(ctx)
	// Output:
	// granted
	// finished 201 booked
	// key-reused
}
