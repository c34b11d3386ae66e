// The stream `configuration`: two operators race, an append's answer may be lost, hosts fold the log at their own
// pace or adopt a version from a peer. Proved: an operator is told "accepted" only for a change that every fold
// accepts, two operators never both win one version, a host's version never goes back, and hosts with the same
// version have the same change in force.
//
// check: configuration-fold
// mutant: blind-reappend MUTANT_BLIND_REAPPEND
// mutant: accept-without-reading MUTANT_ACCEPT_WITHOUT_READING
// mutant: adopt-older MUTANT_ADOPT_OLDER

#define OPERATORS 2
#define HOSTS 2
#define LOG_SIZE 4

// A record holds its author (from 1) and the version that it replaces.
byte recordAuthor[LOG_SIZE];
byte recordReplaces[LOG_SIZE];
byte logLength = 0;

// What an operator was told: 0 nothing yet, 1 accepted, 2 lost.
byte told[OPERATORS];
// The version that an operator's accepted change made.
byte madeVersion[OPERATORS];

byte hostVersion[HOSTS];
byte hostAuthor[HOSTS];
byte hostPosition[HOSTS];
bool wentBack = false;

inline append(who, replaces)
{
    if
    :: logLength < LOG_SIZE ->
        recordAuthor[logLength] = who;
        recordReplaces[logLength] = replaces;
        logLength++
    :: else -> skip
    fi
}

// Folds the first `length` records; `author` is who set the version reached. Notes if `who` won, and with which version.
inline foldLog(length, who, version, author, wonVersion)
{
    version = 0;
    author = 0;
    wonVersion = 0;
    i = 0;
    do
    :: i < length ->
        if
        :: recordReplaces[i] == version && !(recordAuthor[i] == author && author != 0) ->
            version++;
            author = recordAuthor[i];
            if
            :: author == who -> wonVersion = version
            :: else -> skip
            fi
        :: else -> skip
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

proctype Operator(byte id)
{
    byte i, version, author, wonVersion, based;
    bool answered;
    atomic { foldLog(logLength, id + 1, version, author, wonVersion); based = version }
    // The append takes effect; its answer arrives or is lost.
    atomic {
        append(id + 1, based);
        if
        :: answered = true
        :: answered = false
        fi
    }
#ifdef MUTANT_BLIND_REAPPEND
    // A blind second append, based on whatever is current by then, can win twice.
    if
    :: !answered -> atomic { foldLog(logLength, id + 1, version, author, wonVersion); append(id + 1, version) }
    :: else -> skip
    fi;
#endif
#ifdef MUTANT_ACCEPT_WITHOUT_READING
    if
    :: answered -> told[id] = 1; madeVersion[id] = based + 1; goto done
    :: else -> skip
    fi;
#endif
    atomic {
        foldLog(logLength, id + 1, version, author, wonVersion);
        if
        :: wonVersion == based + 1 -> told[id] = 1; madeVersion[id] = wonVersion
        :: else -> told[id] = 2
        fi;
        version = 0; author = 0; wonVersion = 0; based = 0
    }
#ifdef MUTANT_ACCEPT_WITHOUT_READING
done:
#endif
    skip
}

proctype HostProcess(byte id)
{
    byte i, version, author, wonVersion, peer, before, steps;
    do
    :: steps < 4 ->
        steps++;
        if
        :: atomic {
            // Reads one more record of the log, unless it already has a version from a peer that covers it.
            hostPosition[id] < logLength ->
            hostPosition[id] = hostPosition[id] + 1;
            foldLog(hostPosition[id], 0, version, author, wonVersion);
            if
            :: version > hostVersion[id] -> hostVersion[id] = version; hostAuthor[id] = author
            :: else -> skip
            fi;
            version = 0; author = 0; wonVersion = 0
           }
        :: atomic {
            // Hears of a peer's version.
            peer = 1 - id;
            before = hostVersion[id];
            if
#ifdef MUTANT_ADOPT_OLDER
            :: true ->
#else
            :: hostVersion[peer] > hostVersion[id] ->
#endif
                hostVersion[id] = hostVersion[peer];
                hostAuthor[id] = hostAuthor[peer]
            :: else -> skip
            fi;
            if
            :: hostVersion[id] < before -> wentBack = true
            :: else -> skip
            fi;
            peer = 0; before = 0
           }
        fi
    :: else -> break
    od
}

// Who set a version in the whole log; 0 if it was not reached.
byte finalAuthor[LOG_SIZE + 1];
byte timesWon[OPERATORS + 1];

active proctype Monitor()
{
    byte i, version;
    atomic { run Operator(0); run Operator(1); run HostProcess(0); run HostProcess(1) }
    assert(!wentBack);
    (_nr_pr == 1);
    atomic {
        version = 0;
        i = 0;
        do
        :: i < logLength ->
            if
            :: recordReplaces[i] == version && !(recordAuthor[i] == finalAuthor[version] && version != 0) ->
                version++;
                finalAuthor[version] = recordAuthor[i];
                timesWon[recordAuthor[i]]++
            :: else -> skip
            fi;
            i++
        :: else -> break
        od;
        assert(!wentBack);
        assert(timesWon[1] <= 1 && timesWon[2] <= 1);
        i = 0;
        do
        :: i < OPERATORS ->
            assert(told[i] != 0);
            assert(told[i] != 1 || finalAuthor[madeVersion[i]] == i + 1);
            assert(told[i] != 2 || timesWon[i + 1] == 0);
            i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < HOSTS ->
            assert(hostVersion[i] == 0 || finalAuthor[hostVersion[i]] == hostAuthor[i]);
            i++
        :: else -> break
        od
    }
}
