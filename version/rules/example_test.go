package rules_test

import (
	"fmt"

	"github.com/jayridge/jayridge/version/rules"
)

func ExampleParse() {
	set, _ := rules.Parse("press.rules", []byte(`
service basket-app kind=plain versions=v1              # josefa: bookings
route /bookings service=basket-app deadline=5s         # josefa: charges cards
`))
	route, _ := set.Route("/bookings/today")
	fmt.Println(route.Service, route.Deadline, route.Idempotent, route.Comment.Requester)

	_, faults := rules.Parse("press.rules", []byte("team drivers weight=many  # josefa: they wait at gates"))
	fmt.Println(faults)
	// Output:
	// basket-app 5s false josefa
	// press.rules:1:21: "many" is not a count; want a whole number from 1 to 1000000
}
