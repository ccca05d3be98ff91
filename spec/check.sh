#!/usr/bin/env bash
# Checks the specifications and their mutants with Spin; see README.md. Prints
# states and depth of each search. Exits non-zero when the specification is
# wrong, a search is incomplete, a mutant passes, or a cover is not reached.
set -euo pipefail
cd "$(dirname "$0")"

JOBS=${JOBS:-4}             # searches at a time
MEMORY_MB=${MEMORY_MB:-2000} # limit of one search
DEPTH=20000                 # the specification needs under 1000 steps

PAIR="-DPAIR -DMAXLOG=3"
CALM="-DPAIR -DMAXLOG=3 -DRESTARTS=0 -DCRASHES=0"
RACE="-DPAIR -DBOTH -DON_LOG_ONLY -DCRASHES=0"
JOIN="-DJOIN -DMAXLOG=4 -DRESTARTS=0"
TWO="-DTWO_DOMAINS -DCRASHES=2 -DMAXLOG=3"
RECOVER="-DPAIR -DMAXLOG=2 -DRECOVER"

STEADY="-DRESTARTS=0"
RESTORE="-DRESTORE -DRESTARTS=0"
RESTORE_THREE="$RESTORE -DLEADERS=3 -DGRANTS=1 -DNO_LEARNING"
THREE="-DLEADERS=3 -DGRANTS=1 -DRESTARTS=0"

# Kind, model, name, definitions. "holds" must be searched completely without an
# error; "fails" must have one.
cases() {
  cat <<LIST
holds ranges grants
holds ranges grants-slow-log -DSLOW_LOG $STEADY
holds ranges grants-three-terms $THREE
holds ranges grants-restore $RESTORE -DGRANTS=1
holds ranges grants-restore-two $RESTORE -DNO_LEARNING
fails ranges copy-trusted $RESTORE -DGRANTS=1 -DM_COPY_TRUSTED
fails ranges bounds-kept $RESTORE_THREE -DM_BOUNDS_KEPT
fails ranges one-ended $RESTORE_THREE -DM_ONE_ENDED
fails ranges ends-end-holds $RESTORE -DGRANTS=1 -DM_ENDS_END_HOLDS
fails ranges cover-handover $STEADY -DCOVER_HANDOVER
fails ranges no-grant-fence -DM_NO_FENCE
fails ranges formers-not-waited-for $STEADY -DM_FORMERS_NOT_WAITED_FOR
fails ranges former-not-stored $STEADY -DM_FORMER_NOT_STORED
fails ranges dials-without-store -DM_DIALS_WITHOUT_STORE
fails ranges call-not-counted $STEADY -DM_CALL_NOT_COUNTED
fails ranges authority-not-waited-for $STEADY -DM_AUTHORITY_NOT_WAITED_FOR
fails ranges authority-from-answer -DSLOW_LOG $STEADY -DM_AUTHORITY_FROM_ANSWER
fails ranges stop-ends-holds $STEADY -DM_STOP_ENDS_HOLDS
fails ranges answer-clears-earlier -DM_ANSWER_CLEARS_EARLIER
fails ranges release-ends-all $STEADY -DM_RELEASE_ENDS_ALL
fails ranges clear-not-chained $THREE -DM_CLEAR_NOT_CHAINED
holds ownership pair $PAIR
holds ownership join $JOIN
holds ownership race $RACE -DMAXLOG=4
holds ownership recover $RECOVER
holds ownership host-gone $RECOVER -DHOST_GONE
holds ownership two-domains $TWO -DRECOVER
fails ownership cover-takeover $RACE -DMAXLOG=4 -DCOVER_TAKEOVER
fails ownership cover-off-log $CALM -DCOVER_OFF_LOG
fails ownership active-at-move $RACE -DMAXLOG=4 -DM_ACTIVE_AT_MOVE
fails ownership move-without-epoch $RACE -DMAXLOG=4 -DM_MOVE_WITHOUT_EPOCH
fails ownership release-without-epoch $RACE -DMAXLOG=5 -DM_RELEASE_WITHOUT_EPOCH
fails ownership no-nonce $CALM -DM_NO_NONCE
fails ownership no-version-fence $CALM -DM_NO_VERSION_FENCE
fails ownership word-without-bound $CALM -DM_WORD_UNBOUNDED
fails ownership lapse-without-authority $CALM -DM_LAPSE_WITHOUT_AUTHORITY
fails ownership authority-from-end-of-read $CALM -DM_AUTHORITY_FROM_END_OF_READ
fails ownership no-consent $CALM -DM_NO_CONSENT
fails ownership consent-forgotten $CALM -DM_CONSENT_FORGOTTEN
fails ownership dead-not-asked $PAIR -DM_DEAD_NOT_ASKED
fails ownership stale-consent $CALM -DM_STALE_CONSENT
fails ownership late-back $CALM -DM_LATE_BACK
fails ownership back-ends-wait $CALM -DM_BACK_ENDS_WAIT
fails ownership no-read-after-restart $PAIR -DM_NO_READ_AFTER_RESTART
fails ownership ack-alone $PAIR -DM_ACK_ALONE
fails ownership ack-before-stop $PAIR -DM_ACK_BEFORE_STOP
fails ownership ack-of-any-version $CALM -DM_ACK_OF_ANY_VERSION
fails ownership no-dead-rule $RECOVER -DM_NO_DEAD_RULE
fails ownership no-time-rule $RECOVER -DHOST_GONE -DM_NO_TIME_RULE
fails ownership no-retiring $JOIN -DM_NO_RETIRING
fails ownership new-member-decides $JOIN -DM_NEW_MEMBER_DECIDES
fails ownership hello-ends-wait $JOIN -DM_HELLO_ENDS_WAIT
fails ownership isolated-not-counted $TWO -DM_ISOLATED_NOT_COUNTED
fails ownership isolated-from-entry $TWO -DM_ISOLATED_FROM_ENTRY
fails ownership lost-while-alive $TWO -DM_LOST_WHILE_ALIVE
LIST
}

# check KIND MODEL NAME DEFINITIONS...
check() {
  local kind=$1 model=$2 name=$3 dir out states depth search=
  shift 3
  # Breadth first finds the shortest trace of a mutant; depth first needs less
  # memory, also for mutants of ranges.pml, whose traces are long.
  if [ "$kind" = fails ] && [ "$model" = ownership ]; then search=-DBFS; fi
  dir=$WORK/$name
  mkdir -p "$dir"
  (cd "$dir" && spin -a "$@" "$SPEC/$model.pml" >spin.log 2>&1 &&
    gcc -O3 -w $search -DCOLLAPSE -DSAFETY -DMEMLIM="$MEMORY_MB" -o pan pan.c >gcc.log 2>&1 &&
    ./pan -m"$DEPTH" >out 2>&1) || true
  out=$dir/out
  if [ ! -s "$out" ]; then
    echo "FAULT $name: no search: $(tail -n 1 "$dir"/*.log | tr '\n' ' ')"
    return 1
  fi
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$out")
  depth=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' "$out")
  local wrong=0 complete=1
  grep -q '^pan:1: assertion violated' "$out" && wrong=1
  grep -Eq 'max search depth|out of memory|MEMLIM|Search not completed|search was cut|^pan:1: invalid end state' "$out" && complete=0
  grep -q 'errors: 0' "$out" || complete=0
  local text="$name: states=${states:-none} depth=${depth:-none}"
  case $kind/$wrong/$complete in
  holds/0/1) echo "ok    $text" ;;
  fails/1/*) echo "ok    $text found: $(sed -n 's/^pan:1: assertion violated \(.\{1,60\}\).*/\1/p' "$out")" ;;
  holds/1/*) echo "FAULT $text violated: $(grep '^pan:1' "$out")"; return 1 ;;
  fails/0/*) echo "FAULT $text passes, but must be found wrong"; return 1 ;;
  *) echo "FAULT $text incomplete: $(grep '^pan' "$out" | head -n 1)"; return 1 ;;
  esac
  rm -rf "$dir"
}

export -f check
export MEMORY_MB DEPTH
SPEC=$PWD
WORK=$(mktemp -d)
export SPEC WORK
trap 'rm -rf "$WORK"' EXIT

start=$SECONDS
status=0
cases | xargs -P "$JOBS" -I{} bash -c 'check {}' || status=1
echo "model check: $((SECONDS - start)) s, status $status"
exit "$status"
