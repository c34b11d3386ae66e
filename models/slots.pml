// The stream `slots`, for one slot and two hosts: appends are delayed or lost, their answers are never looked at,
// hosts read the stream at their own pace and may be paused at any step while time goes on. Time is counted in
// ticks that pass for both hosts alike; the drift margin of the program stands for the difference of real clocks.
// Proved: at no instant may both hosts use the slot.
//
// check: slots
// check: slots-release RELEASE
// check: slots-long-lease LEASE=3
// mutant: claims-one-tick-early MUTANT_EARLY_CLAIM
// mutant: lease-counted-from-reading MUTANT_LEASE_FROM_READING
// mutant: claim-without-comparing MUTANT_NO_COMPARE
// mutant: late-renewal-accepted MUTANT_RENEWAL_TAKES_BACK
// mutant: release-while-in-use RELEASE MUTANT_RELEASE_IN_USE

#define HOSTS 2
#define LOG_SIZE 5
#ifndef LEASE
#define LEASE 2
#endif
#define NOBODY 2
#define NO_RECORD 255
#define CLAIM 1
#define RENEW 2
#define GIVE_BACK 3

// The log.
byte recordHost[LOG_SIZE];
byte recordKind[LOG_SIZE];
byte recordBasis[LOG_SIZE];
byte logLength = 0;

// What each host has folded.
byte position[HOSTS];
byte holder[HOSTS] = NOBODY;
byte lastRecord[HOSTS] = NO_RECORD;
// Ticks until another host's slot may be claimed.
byte claimableIn[HOSTS];
// Ticks for which the host may still use the slot.
byte usable[HOSTS];

// One append of each host that has not landed, and what is left of the lease counted from before it was sent.
byte sentKind[HOSTS];
byte sentBasis[HOSTS];
bool landed[HOSTS];
byte sentLease[HOSTS];

inline less(counter)
{
    if
    :: counter > 0 -> counter--
    :: else -> skip
    fi
}

inline send(kind)
{
    sentKind[id] = kind;
    sentBasis[id] = lastRecord[id];
    sentLease[id] = LEASE;
    landed[id] = false
}

inline applyRecord(offset)
{
    author = recordHost[offset];
    applies = false;
    if
    :: recordKind[offset] == CLAIM ->
#ifdef MUTANT_NO_COMPARE
        applies = true
#else
        applies = holder[id] == NOBODY || recordBasis[offset] == lastRecord[id]
#endif
    :: recordKind[offset] == RENEW ->
#ifdef MUTANT_RENEWAL_TAKES_BACK
        applies = true
#else
        applies = holder[id] == author
#endif
    :: recordKind[offset] == GIVE_BACK -> applies = holder[id] == author
    fi;
    if
    :: applies ->
        lastRecord[id] = offset;
        if
        :: recordKind[offset] == GIVE_BACK -> holder[id] = NOBODY; claimableIn[id] = 0
        :: else ->
            holder[id] = author;
            if
            :: author == id ->
#ifdef MUTANT_LEASE_FROM_READING
                usable[id] = LEASE
#else
                if
                :: sentLease[id] > usable[id] -> usable[id] = sentLease[id]
                :: else -> skip
                fi
#endif
            :: else ->
                usable[id] = 0;
#ifdef MUTANT_EARLY_CLAIM
                claimableIn[id] = LEASE - 1
#else
                claimableIn[id] = LEASE
#endif
            fi
        fi
    :: else -> skip
    fi;
    if
    :: author == id -> sentKind[id] = 0; sentLease[id] = 0
    :: else -> skip
    fi;
    author = 0;
    applies = false
}

proctype HostProcess(byte id)
{
    byte author;
    bool applies;
    do
    :: logLength == LOG_SIZE && position[id] == LOG_SIZE -> break
    :: atomic { position[id] < logLength -> applyRecord(position[id]); position[id]++ }
    :: atomic { sentKind[id] == 0 && holder[id] != id && (holder[id] == NOBODY || claimableIn[id] == 0) -> send(CLAIM) }
    :: atomic { sentKind[id] == 0 && holder[id] == id -> send(RENEW) }
#ifdef RELEASE
    :: atomic {
        // The slot is no longer used from here on.
        sentKind[id] == 0 && holder[id] == id ->
        send(GIVE_BACK);
        sentLease[id] = 0;
#ifndef MUTANT_RELEASE_IN_USE
        usable[id] = 0
#endif
       }
#endif
    :: atomic {
        // The append takes effect, late or at once.
        sentKind[id] != 0 && !landed[id] && logLength < LOG_SIZE ->
        recordHost[logLength] = id;
        recordKind[logLength] = sentKind[id];
        recordBasis[logLength] = sentBasis[id];
        logLength++;
        landed[id] = true
       }
    :: atomic { sentKind[id] != 0 && !landed[id] -> sentKind[id] = 0; sentBasis[id] = 0; sentLease[id] = 0 }
    od
}

active proctype Time()
{
    atomic { run HostProcess(0); run HostProcess(1) }
    do
    :: atomic {
        less(usable[0]); less(usable[1]);
        less(sentLease[0]); less(sentLease[1]);
        less(claimableIn[0]); less(claimableIn[1])
       }
    :: atomic { usable[0] > 0 && usable[1] > 0 -> assert(false) }
    :: _nr_pr == 1 -> break
    od
}
