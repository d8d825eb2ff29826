#!/usr/bin/env bash
# Mutation test of the safety checks in the code (guards): removes each guard in a scratch copy and requires the named test to fail.
# Usage: guards.sh [NAME], all guards by default. Prints the first lines of each failure, which docs/PROOFS.md quotes.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
only=${1:-}
missed=0

# guard NAME FILE PERL-SUBSTITUTION PACKAGE TEST
guard() {
  local name=$1 file=$2 change=$3 package=$4 test=$5
  [ -z "$only" ] || [ "$only" = "$name" ] || return 0
  rm -rf "$scratch/tree"
  mkdir -p "$scratch/tree"
  (cd "$root" && git ls-files -c -o --exclude-standard | tar -cf - -T -) | tar -xf - -C "$scratch/tree"
  local before=$scratch/before
  cp "$scratch/tree/$file" "$before"
  perl -0pi -e "$change" "$scratch/tree/$file"
  if cmp -s "$before" "$scratch/tree/$file"; then
    echo "$name: the expression matches nothing in $file"
    missed=1
    return
  fi
  local output
  if output=$(cd "$scratch/tree" && go test -count 1 -run "$test" "$package" 2>&1); then
    echo "$name: NOT DETECTED by $test"
    missed=1
    return
  fi
  if grep -q "build failed" <<<"$output"; then
    echo "$name: the code does not build without the guard"
    missed=1
    return
  fi
  echo "== $name: detected by $test"
  echo "$output" | grep -vE '^\s*$|^[IWE][0-9]{4} |log of |^\s+[IWE][0-9]{4} |^\s+\S+_test.go:[0-9]+:\s*$' | grep -m 4 -E '_test.go|FAIL:|expected|never happened|value|panic|↪'
}

guard claim process/sidecar/claim.go 's/if route.Idempotent \|\| x.open.IdempotencyKey == ""/if true/' ./test 'TestClaim_SentTwiceAtOnce$'
guard unknown-after-send process/entry/attempt.go 's/case !sent:/case true:/' ./process/entry TestExchange_ConnectionLostAtEachFrame
guard fresh-answer process/entry/attempt.go 's/x\.response\.reset\(\)/_ = x/' ./process/entry TestExchange_ConnectionLostAtEachFrame
guard whole-answer process/entry/attempt.go 's/if err := body\.End\(m\); err != nil/if err := body.End(m); false \&\& err != nil/' ./process/entry TestExchange_CorruptResponses
guard broken-stream process/entry/response.go 's/_ = s\.writeEvent\("error", o\.terminalEvent\(\)\)\n\tpanic\(http\.ErrAbortHandler\)/_ = s.writeEvent("end", o.terminalEvent())/' ./test TestStream_BrokenNeverLooksEnded
guard config-pull process/node/peers.go 's/if version > n\.Snapshot\(\)\.Version\(\)/if false/' ./process/node TestConfig_PulledFromPeer
guard drain-sidecar process/sidecar/limits.go 's/Drained:    drained,/Drained:    drained \&\& false,/' ./process/sidecar TestServe_DrainedByNewerConfiguration
guard newer-config process/sidecar/serve.go 's/snapshot\.Version\(\) < x\.open\.ConfigVersion/false/' ./process/sidecar TestServe_UnknownNewerConfiguration
guard finish-requests cmd/jayridge/role.go 's/if err := r\.Drain\(ctx\); err != nil/if err := error(nil); err != nil/' ./test TestLeave_SidecarCutsNothing
guard refuse-when-leaving process/sidecar/sidecar.go 's/s\.admission\.SetLeaving\(\)//' ./process/sidecar TestServe_Leaving
guard shift-stop process/shift/driver.go 's/Share: r\.machine\.Share\(\), Step/Share: 0.1, Step/' ./test TestShift_BadVersionIsRolledBack
guard order-token process/order/order.go 's/if fence < highest/if fence < highest \&\& false/' ./process/order TestForward_TokensNeverDecrease
guard order-pause process/order/order.go 's/g\.now\(\)\.Sub\(checked\) > g\.cfg\.Freshness/checked.IsZero()/' ./process/order TestForward_PausedAfterCheck
guard quarantine process/quarantine/tracker.go 's/t\.list\.Add\(now, f\)//' ./test TestCrash_PoisonRequestIsQuarantined
guard control-messages connection/link/conn.go 's/if !isControl\(m\) \|\| m\.Type\(\) == wire\.TypeHello/if m.Type() != wire.TypeGossip/' ./connection/link TestSend_AllControlMessagesArrive
guard unresponsive-sidecar process/entry/attempt.go 's/if a\.accepted \|\| !a\.x\.route\.Idempotent/if true/' ./test TestPause_ChatsGoElsewhere
guard load-bound process/admission/controller.go 's/if after > limit \&\&/if after > limit+1e18 \&\&/' ./process/admission TestBoundHoldsAndServiceProgresses
guard filling process/admission/rampup.go 's/if !f\.active\(now, cfg\) \|\|/if true ||/' ./process/admission 'TestRampUp'
guard cold-start process/admission/controller.go 's/if c\.cold\.limited\(&c\.limits\) \&\& !c\.coldStartAllows\(team\)/if false/' ./process/admission TestColdStart
guard newer-only version/config/adopt.go 's/if h\.Version <= before/if h.Version == before/' ./version/config 'TestStateSources|TestProposersAndReaders'
guard unique-team version/rules/teamindex.go 's/if next\.find\(t\.name\) != nil/if false/' ./version/rules TestCompileEqualsParse
guard moved-rules version/rules/compile.go 's/if d\.otherRulesChanged\(&next\) &&/if false \&\&/' ./version/rules TestCompileEqualsParse
guard paced-answers version/config/pacer.go 's/return p\.limiter\.AllowN\(now, bytes\)/return true/' ./version/config TestPacer
guard retry-safety request/retry/policy.go 's/ran > 0 \&\& \(!r\.Idempotent \|\|/ran > 0 \&\& (false ||/' ./request/retry 'TestDecide_EveryResultCode|TestDecisionsAreSafe'
guard leaving-announced process/membership/membership.go 's/if !m\.announced\.IsZero\(\) \&\& !expired/if false \&\& !expired/' ./process/membership TestTable_MergesSources
guard redial process/node/control.go 's/c\.redial\(now\)//' ./process/node TestMembers_UnreachableInstanceReturns
guard lagging-address process/node/pool.go 's/conn := s\.live\(\)\n\tif p/conn := s.live(); if s.address != instance.Address { conn = nil }\n\tif p/' ./process/node TestPool_AddressChanges
guard other-instance process/node/pool.go 's/instance\.ID != "" \&\& remote != instance\.ID/remote == ""/' ./process/node TestPool_OtherInstanceAtAddress
guard redirect internal/standin/httpengine/httpengine.go 's/return http\.ErrUseLastResponse/return nil/' ./internal/standin/httpengine TestCall_RedirectIsTheAnswer
guard old-version-answers process/entry/candidates.go 's/c\.all, c\.remaining = c\.fallback, c\.fallback//' ./process/entry TestSelectCandidates_FallsBackToOldVersion
guard full-queue process/node/node.go 's/n\.backlog = append\(n\.backlog, f\)//' ./process/node TestMembers_FullQueueLosesNoConnection
guard loss-noted process/node/peers.go 's/other != nil && other != ended/other != nil/' ./process/node TestHandleClose_RecordsLossImmediately
guard version-kept process/node/peers.go 's/if known && n\.hasOtherConn\(ended\)/if known && false/' ./process/node TestHandleClose_KeepsVersionOfConnectedPeer
guard protocol-version process/entry/attempt.go 's/case errors\.Is\(err, link\.ErrProtocolVersion\):/case false:/' ./process/entry TestProtocolVersion
guard dial-cause process/node/pool.go 's/errors\.Join\(ErrRecentlyFailed, s\.failure\)/errors.Join(ErrRecentlyFailed)/' ./process/entry TestProtocolVersion
guard redial-process process/node/control.go 's/c\.redial\(now\)//' ./test TestRestart_SidecarGetsWorkAgain
guard unchanged-confirmed version/config/propose.go 's/if _, err := s\.kv\.CompareAndSwap\(ctx, HeadKey, head\.revision, head\.value, 0\); err != nil/if err := error(nil); err != nil/' ./version/config 'TestPropose_StaleReadIsNotUnchanged'
guard list-believed process/membership/membership.go 's/if !m\.listed && !m\.connected/if !m.listed/' ./test TestList_LagsBothWays
guard unreachable-elsewhere request/result/result.go 's/(Unreachable, "unreachable", NotRun, 503), true/$1, false/' ./test TestList_LagsBothWays
guard contact-order process/directory/directory.go 's/if gap <= 0/if false/' ./process/directory TestRecordContact_OlderAfterNewer
guard slow-response platform/transfer.go 's/r\.t\.timer\.Reset\(r\.t\.idle\)/_ = r.t.idle/' ./platform TestChanges_SlowResponse
guard refusal-progress platform/store.go 's/t\.progress = nil/_ = t/' ./platform TestChanges_RefusalIsNoProgress
guard many-versions process/gateway/watch.go 's/int\(w\.g\.storeCopyBytes\.Load\(\)\) \+ maxChangesOverCopy/0*maxChangesOverCopy/' ./process/gateway TestWatch_ChangesLargerThanContent
guard response-limit platform/store.go 's/limit = min\(limit, c\.maxBytes\)/_ = limit/' ./platform TestChanges_TooMany
guard contact-progress process/gateway/control.go 's/if at := s\.g\.storeProgressAt\.Load\(\); at > 0/if at := s.g.storeProgressAt.Load(); false/' ./process/gateway TestApply_RemovalAfterSlowFirstCopy
guard pull-when-refused process/gateway/storepull.go 's/ && !p\.g\.storeFailing\.Load\(\)//' ./process/gateway TestStorePull_StoreTurnsGatewayAway
guard brought-changes process/gateway/watch.go 's/w\.revision = max\(w\.revision, w\.g\.revision\.Load\(\)\)/_ = w/' ./process/gateway TestWatch_ChangesFromNeighboursAreNotRepeated
guard unread-request process/gateway/callers.go 's/if socket\.Peek\(c\.TCPConn\) == socket\.Readable/if socket.Peek(c.TCPConn) == 255/' ./process/gateway TestCloseIdle_RequestNotReadYet
guard one-question process/mirror/puller.go 's/_, waiting := p\.questions\[peer\]; waiting/false/' ./process/mirror TestPuller_OneQuestionPerPeer
guard one-fetch process/mirror/puller.go 's/mayFetch && p\.fetch == nil/mayFetch/' ./process/mirror TestPuller_LargeValueFromOnePeer
guard one-transfer process/gateway/watch.go 's/\tcase <-first\.begun:\n\t\treturn w\.finish\(first\)\n\tcase <-overdue/\tcase <-overdue/' ./process/gateway TestWatch_SlowResponseNotRepeated
guard urgent-watch process/gateway/urgent.go 's/urgent\.Go\(func\(\) \{ w\.watchUrgent\(ctx, prefix\) \}\)/_, _ = ctx, prefix/' ./process/gateway TestWatch_UpstreamRemovedDuringSlowResponse
guard left-upstream process/gateway/attempt.go 's/if !a\.choice\.Usable\(\)/if false/' ./process/gateway TestExchange_UpstreamLeavesAfterTheChoice
guard kept-refusal connection/upstream/exchange.go 's/id == "" && !c\.reused/id == ""/' ./process/gateway TestServe_RefusalRepeatedOnKeptConnection
guard refusal-id process/gateway/attempt.go 's/own := response\.HasRequestID/own := true/' ./process/gateway TestServe_RefusalWithoutID
guard listed-leaving process/membership/membership.go 's/if m\.State == platform\.InstanceLeaving \{\n\t\treturn false/if m.State == platform.InstanceLeaving {\n\t\treturn true/' ./test TestList_EntriesDisagree
guard claim-lists process/sidecar/claim.go 's/if route.Idempotent \|\| x.open.IdempotencyKey == ""/if true/' ./test TestList_EntriesDisagree
guard sick-data-centre process/entry/shift.go 's/DataCentre: target\.DataCentre, Failed/DataCentre: "", Failed/' ./test TestRollout_FaultyDataCentreCausesNoRollback
guard stop-without-lease version/rollout/machine.go 's/case v\.Rejected && m\.record/case v.Rejected \&\& m.lease.Held \&\& m.record/' ./test TestRollout_StoppedWhilePlatformIsDown
guard slow-judged version/rollout/sequential.go 's/for kind := range numOutcomeKinds \{\n\t\t\tt\.evaluateGroup/for kind := range 1 {\n\t\t\tt.evaluateGroup/' ./test 'TestRollout_LateFaults/is_slow'
guard part-attribution process/quarantine/evidence.go 's/if n < top \|\|/if false \&\& n < top ||/; s/if n > top \{/if top = max(top, n); false {/' ./process/quarantine TestParts_AttributesToTheMostFrequent
guard part-answer process/quarantine/parts.go 's/return found && !crash\.At\.After\(at\)/return false \&\& found \&\& at.IsZero()/' ./process/quarantine TestParts_LateReportOfAClearedCrash
guard part-sound process/gateway/crashparts.go 's/if len\(c\.partIDs\.Answered\) == 0/if true/' ./process/gateway TestCrashParts_NoCulpritAmongSoundParts
guard part-reports process/gateway/crashparts.go 's/s\.partReport\.crashes = append\(s\.partReport\.crashes, crash\)//' ./process/gateway TestCrashParts_FleetRejectsOnlyTheCrashingPart
guard part-store process/gateway/quarantinestore.go 's/if item\.Deleted \|\|/if true ||/' ./process/gateway TestCrashTracker_StoredQuarantine
guard request-answers process/gateway/crashes.go 's/s\.partReport\.answers = append\(s\.partReport\.answers, answer\)//' ./process/gateway TestCrashTracker_RequestAnsweredElsewhere
guard rate-share process/balancer/ratelimit.go 's/rate\.Limit\(perSecond \/ float64\(b\.entries\)\)/rate.Limit(perSecond)/' ./process/balancer TestPick_NamedRateLimit
guard rate-turns process/balancer/ratelimit.go 's/return \(time\.Duration\(now.*/return true || phase > 0/' ./process/balancer TestPick_NamedRateLimit
guard rate-peers process/gateway/fleetstate.go 's/m\.Limits = wireLimits\(now, b\.TakeRateLimits\(\)\)//' ./process/gateway TestServe_NamedRateLimitOfOtherGateway
guard buffer-wait process/bufferbudget/ledger.go 's/\(fair \|\| l\.waiting == 0\)/true/' ./process/bufferbudget TestReserve_RoomIsKeptForTheOneThatWaits
guard buffer-kept process/bufferbudget/budget.go 's/\tr\.evict = nil\n//' ./process/bufferbudget TestReserve_NothingToEvict
guard buffer-uses process/bufferbudget/ledger.go 's/maxUseShare = 0\.75/maxUseShare = 1.0/' ./process/bufferbudget TestReserve_OneOwnerTakesAllOfAUse
guard credit-shared process/balancer/credit.go 's/share := free \/ float64\(entries\)/share := free/' ./process/balancer TestCredit_SharesFreeSlots
guard credit-scarce process/balancer/credit.go 's/free < slots\/2/slots > 0/' ./process/balancer TestPick_CreditOnlyWhenSlotsAreScarce
guard retry-paid process/gateway/attempt.go 's/, !c\.g\.budgets\.reserve\([^\n]*\):/:/' ./process/gateway TestServe_NoRetryWithoutBudget
guard busy-waited process/gateway/attempt.go 's/a\.choice\.Busy\(bootclock\.Now\(\)\)/false/' ./process/gateway TestServe_BusyUpstreamsAreWaitedFor
guard pool-oldest connection/upstream/pool.go 's/oldest := p\.takeOldest\(\)/var oldest *Conn/' ./connection/upstream TestGet_LimitReachedByOldIdleConnections
guard comment-progress process/gateway/stream.go 's/progresses := hasID/progresses := true || hasID/' ./process/gateway TestStream_CommentsAreNoProgress
guard done-final version/rollout/machine.go 's/if m\.rolledBack \|\| m\.record\.State == Done \{/if m.rolledBack {/g' ./version/rollout TestMachine_DoneIsFinal
guard done-wins version/rollout/record_events.go 's/m\.revertRollback\(out\)/_ = out/' ./version/rollout TestMachine_RollbackYieldsToDone
guard outage-records version/rollout/record_events.go 's/case m\.State\(\) == Done:/case m.State() == Done || m.platformDown:/' ./version/rollout TestMachine_HearsOfProgressDuringOutage
guard outcome-read version/rollout/machine.go 's/return m\.recordKnown && !m\.platformDown && .*/return true/' ./version/rollout TestMachine_RollbackIsReportedOnceRecorded
guard rollback-target version/rollout/schedule.go 's/if !m\.canRollBack\(now\) \{\n\t\t\treturn/if false {\n\t\t\treturn/' ./platform/soak TestRollout_StoreRestoredAndAllRestarted
guard complete-target version/rollout/schedule.go 's/ \|\| !m\.canComplete\(\)//' ./version/rollout TestMachine_NewVersionRemovedAtFullShare
guard just-started version/rollout/upstreams.go 's/ && !now\.Before\(o\.since\.Add\(m\.config\.ObserveTime\)\)//' ./version/rollout TestMachine_OldVersionListedAfterItsEnd
guard list-current version/rollout/upstreams.go 's/since\.IsZero\(\) \|\| !current/since.IsZero()/' ./version/rollout TestMachine_OldVersionMissingForAWhile
guard out-of-reach version/rollout/upstreams.go 's/case p != Absent:/case p == Serving:/' ./version/rollout TestMachine_OldVersionOutOfReach
guard outcome-again version/rollout/machine.go 's/if m\.ended\(\) \{\n\t\tm\.recordOutcome/if m.rolledBack {\n\t\tm.recordOutcome/' ./version/rollout TestMachine_FinalStateOutlivesRestoredPlatform
guard outcome-told process/shift/record.go 's/r\.recordSent = 0\n\t\td\.opts\.Host\.GossipNow\(\)/r.recordSent = 0/' ./process/gateway TestStoreRestored_RolloutStaysCompleted/one_restart
guard fence-epoch version/rollout/record_events.go 's/&& !restored/\&\& (!restored || true)/' ./version/rollout TestMachine_FencesOfRestoredPlatform
guard sidecar-done process/sidecar/sidecar.go 's/if s\.shiftDone \{/if false {/' ./process/sidecar TestHandleGossip_StopAfterDone
guard late-streams process/gateway/admit.go 's/ \|\| c\.g\.draining\.Load\(\)//' ./platform/soak TestShutdown_LateStreams
guard leaving-conn process/gateway/serve.go 's/if c\.g\.leaving\.Load\(\)/if false/' ./process/gateway TestLeave_ClosesConnectionsOfRequestsInProgress
guard no-teams platform/decode.go 's/w\.Tenants == nil/len(w.Tenants) == 0/' ./platform TestDecode_EmptyListOfTenants
guard empty-key version/routing/table.go 's/if key == ""/if false/' ./version/routing TestTable_EmptyKey
guard view-confirmed process/gateway/control.go 's/s\.g\.copyConfirmedAt\.Store\(asOf\.UnixNano\(\)\)/$&\n\t\tif v := s.g.view.Load(); v != nil { v.confirmedAt.Store(asOf.UnixNano()) }/' ./process/gateway TestServe_ConfigurationBeingAdopted
guard long-path version/routing/table.go 's/min\(len\(path\), h\.longest\)/len(path)/' ./version/routing TestTable_PathOfManySegments
guard repeated-stop cmd/jayridge/shutdown.go 's/if s == syscall\.SIGINT/if s != syscall.SIGHUP/' ./cmd/jayridge TestShutdownContext_RepeatedSignals
guard restored-config process/gateway/restore.go 's/r\.revision > 0 && now\.Before\(r\.until\)/false/' ./process/gateway TestStoreRestored_RevokedKey
guard reset-in-write connection/orderly/orderly.go 's/failure := c\.writeFailure\(\); failure != nil/failure := c.writeFailure(); false/' ./connection/orderly TestRead_ResetDuringWrite
guard valid-status connection/upstream/exchange.go 's/err := CheckStatus\(response\.StatusCode\); err != nil/err := CheckStatus(response.StatusCode); false/' ./process/gateway TestServe_InvalidStatus
guard quarantine-relay process/entry/entry.go 's/if len\(learned\) > 0/if false/' ./process/entry TestHandleGossip_PassesQuarantineOnToEntries
guard quarantine-rejection process/sidecar/serve.go 's/if code == result\.Quarantined/if false/' ./process/sidecar TestServe_RejectionTellsEntryOfQuarantine
guard restored-start process/gateway/restore.go 's/r\.confirmedAt = time\.Unix\(0, 0\)/r.confirmedAt = now/' ./process/gateway TestStoreRestored_RevokedKeyAtStart
exit $missed
