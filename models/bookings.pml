// One idempotency key on one stream of bookings. Two hosts claim it for callers; an append may be refused, take effect
// with its answer lost, or take effect late. A host decides when it has read its own claim back, may pause between any
// two steps, and may crash. A third claim comes from a host that joins late. Proved: the request is sent at most once,
// unless a sender itself said that it did not run; "not run" is told only to callers whose request was never sent.
//
// check: bookings
// check: bookings-crash CRASH
// mutant: decide-before-reading MUTANT_DECIDE_BEFORE_READING
// mutant: blind-reappend MUTANT_BLIND_REAPPEND
// mutant: last-claim-wins MUTANT_LAST_CLAIM_WINS
// mutant: run-after-giving-up MUTANT_RUN_AFTER_GIVING_UP
// mutant: takeover-of-silent-owner MUTANT_TAKEOVER
// mutant: release-after-sending MUTANT_RELEASE_AFTER_SENDING

#define HOSTS 3
#define LOG_SIZE 9
#define CLAIM 1
#define NOT_RUN 2
#define ANSWERED 3

// What a caller was told.
#define NOTHING 0
#define TOLD_NOT_RUN 1
#define TOLD_ANSWER 2
#define TOLD_UNKNOWN 3

byte logKind[LOG_SIZE];
byte logOwner[LOG_SIZE];
byte logLength = 0;

bool sent[HOSTS];
byte told[HOSTS];
byte runs = 0;
// Claims on their way to the log that will arrive late.
bool late[HOSTS];

inline append(kind, who)
{
    if
    :: logLength < LOG_SIZE -> logKind[logLength] = kind; logOwner[logLength] = who; logLength++
    :: else -> skip
    fi
}

// Folds one record; owner 0 means that the key is free, otherwise it is a host's number from 1.
inline fold(kind, who)
{
    if
#ifdef MUTANT_LAST_CLAIM_WINS
    :: kind == CLAIM -> owner = who; ended = false
#else
    :: kind == CLAIM && owner == 0 -> owner = who; ended = false
#endif
#ifdef MUTANT_TAKEOVER
    // A silent owner is taken to have crashed before it sent anything.
    :: kind == CLAIM && owner != 0 && owner != who && !ended -> owner = who
#endif
    :: kind == NOT_RUN && owner == who && !ended -> owner = 0
    :: kind == ANSWERED && owner == who -> ended = true
    :: else -> skip
    fi
}

proctype Claimant(byte id)
{
    byte position, owner;
    bool ended, decided, first, gaveUp, answered;
    // The append takes effect at once or late, or never; its answer arrives or is lost.
    atomic {
        if
        :: answered = true; append(CLAIM, id + 1)
        :: answered = false; append(CLAIM, id + 1)
        :: late[id] = true; answered = false
        :: answered = false
        fi
    }
#ifdef MUTANT_BLIND_REAPPEND
    // A second copy is appended after a lost answer, and each copy is decided when it is read.
    if
    :: !answered -> atomic { append(CLAIM, id + 1) }
    :: else -> skip
    fi;
#endif
#ifdef MUTANT_DECIDE_BEFORE_READING
    if
    :: answered -> decided = true; first = (owner == 0)
    :: else -> skip
    fi;
#endif
reading:
    do
    :: !decided && position < logLength ->
        atomic {
            if
            :: logKind[position] == CLAIM && logOwner[position] == id + 1 ->
                decided = true;
                fold(logKind[position], logOwner[position]);
                first = (owner == id + 1)
            :: !(logKind[position] == CLAIM && logOwner[position] == id + 1) -> fold(logKind[position], logOwner[position])
            fi;
            position++
        }
    :: !decided && !gaveUp ->
        // The deadline passes.
        atomic { gaveUp = true; told[id] = TOLD_NOT_RUN }
    :: decided || (gaveUp && timeout) -> break
    od;
    if
    :: !decided -> skip
#ifdef MUTANT_RUN_AFTER_GIVING_UP
    :: decided && first ->
#else
    :: decided && first && gaveUp -> atomic { append(NOT_RUN, id + 1) }
    :: decided && first && !gaveUp ->
#endif
        // A pause may lie before this step, however long.
        if
#ifdef CRASH
        :: skip
#endif
        :: atomic {
            // No connection: the request was never sent.
            told[id] = TOLD_NOT_RUN;
            append(NOT_RUN, id + 1)
           }
#ifdef MUTANT_BLIND_REAPPEND
            decided = false;
            goto reading
#endif
        :: atomic { sent[id] = true; runs++ }
            if
#ifdef CRASH
            :: skip
#endif
#ifdef MUTANT_RELEASE_AFTER_SENDING
            :: atomic { told[id] = TOLD_UNKNOWN; append(NOT_RUN, id + 1) }
#endif
            :: atomic { told[id] = TOLD_ANSWER; append(ANSWERED, id + 1) }
            :: atomic { told[id] = TOLD_UNKNOWN }
            fi
        fi
    :: decided && !first && !gaveUp ->
        atomic { told[id] = (ended -> TOLD_ANSWER : TOLD_UNKNOWN) }
    :: decided && !first && gaveUp -> skip
    fi
}

// Delivers late appends at any moment.
active proctype Network()
{
    byte id;
end:
    do
    :: atomic { late[0] -> late[0] = false; append(CLAIM, 1) }
    :: atomic { late[1] -> late[1] = false; append(CLAIM, 2) }
    :: atomic { late[2] -> late[2] = false; append(CLAIM, 3) }
    od
}

active proctype Monitor()
{
    atomic { run Claimant(0); run Claimant(1); run Claimant(2) }
end:
    do
    :: atomic { runs > 1 -> assert(false) }
    :: atomic { sent[0] && told[0] == TOLD_NOT_RUN -> assert(false) }
    :: atomic { sent[1] && told[1] == TOLD_NOT_RUN -> assert(false) }
    :: atomic { sent[2] && told[2] == TOLD_NOT_RUN -> assert(false) }
    od
}
