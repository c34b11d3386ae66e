// One account's bucket of BURST tokens and no refill, shared by its lender, its pooler and one drawer: the lender's
// slice is lent for a term, the pooler gives out blocks for a shorter term, messages are delayed or lost, and any
// process may be paused at any step while time goes on. A slice that comes back fills by one token at most (REFILL)
// in the whole run, at whoever has it. Time passes in ticks, alike for all; the drift margin of the program stands
// for the difference of real clocks.
// Proved: the tokens spent are at most the burst and the refill, and the slice is used by one side at a time.
//
// check: loans
// check: loans-renewed RENEWALS=2
// check: loans-renewed-twice RENEWALS=3
// mutant: loan-counted-from-receipt-at-pooler MUTANT_LOAN_FROM_RECEIPT
// mutant: lender-waits-one-tick-less MUTANT_LENDER_EARLY
// mutant: slice-comes-back-full MUTANT_BACK_FULL
// mutant: block-outlives-its-loan MUTANT_BLOCK_OUTLIVES
// mutant: block-counted-from-receipt-at-drawer MUTANT_BLOCK_FROM_RECEIPT
// mutant: tokens-out-do-not-count MUTANT_OUT_IGNORED

#define BURST 2
#define REFILL 1
#ifndef RENEWALS
#define RENEWALS 1
#endif
#define LOAN_TERM 3
#define BLOCK_TERM 2
#define LIMIT (BURST + REFILL)

// The lender.
byte lenderLevel = BURST;
byte lentFor = 0;
bool lent = false;
// The loan under way: 0 none, 1 asked, 2 answered.
byte loanMessage = 0;
byte loanTokens = 0;
// What is left of the term, counted from before the pooler asked.
byte loanAsked = 0;
byte loansLeft = RENEWALS;

// The pooler.
byte poolLevel = 0;
byte poolFor = 0;
byte outTokens = 0;
byte outFor = 0;

// The block under way and at the drawer.
byte blockMessage = 0;
byte blockTokens = 0;
byte blockAsked = 0;
byte drawerTokens = 0;
byte drawerFor = 0;
byte drawsLeft = 3;

byte refillLeft = REFILL;
byte spent = 0;

inline less(counter)
{
    if
    :: counter > 0 -> counter--
    :: else -> skip
    fi
}

active proctype Lender()
{
end:
    do
    :: atomic {
        // Receives the pooler's request: lends, or goes on lending.
        loanMessage == 1 && (!lent || lentFor > 0) ->
        loanTokens = (lent -> 0 : lenderLevel);
        lenderLevel = 0;
        lent = true;
#ifdef MUTANT_LENDER_EARLY
        lentFor = LOAN_TERM - 1;
#else
        lentFor = LOAN_TERM;
#endif
        loanMessage = 2
       }
    :: atomic {
        // The loan has lapsed: the slice comes back empty.
        lent && lentFor == 0 ->
        lent = false;
#ifdef MUTANT_BACK_FULL
        lenderLevel = BURST
#else
        lenderLevel = 0
#endif
       }
    :: atomic { !lent && lenderLevel > 0 -> lenderLevel--; spent++ }
    :: atomic { !lent && refillLeft > 0 && lenderLevel < BURST -> refillLeft--; lenderLevel++ }
    od
}

active proctype Pooler()
{
end:
    do
    :: atomic { loanMessage == 0 && loansLeft > 0 -> loansLeft--; loanMessage = 1; loanAsked = LOAN_TERM }
    :: atomic {
        // Receives the lender's answer; one that comes after its term is ignored.
        loanMessage == 2 ->
#ifdef MUTANT_LOAN_FROM_RECEIPT
        loanAsked = LOAN_TERM;
#endif
        // Lapses are seen to first, as in every step of the program.
        if
        :: poolFor == 0 -> poolLevel = 0
        :: else -> skip
        fi;
        if
        :: loanAsked > 0 ->
            poolLevel = poolLevel + loanTokens;
            poolFor = loanAsked
        :: else -> skip
        fi;
        loanMessage = 0; loanTokens = 0; loanAsked = 0
       }
    :: atomic { loanMessage != 0 -> loanMessage = 0; loanTokens = 0; loanAsked = 0 }
    :: atomic {
        // Refills while it has the loan; what is out counts against the burst.
        poolFor > 0 && refillLeft > 0 &&
#ifdef MUTANT_OUT_IGNORED
        poolLevel < BURST ->
        poolLevel = BURST;
#else
        poolLevel + outTokens < BURST ->
        poolLevel++;
#endif
        refillLeft--
       }
    :: atomic {
        // Answers a draw: a block does not outlive the loan behind it.
        blockMessage == 1 && poolLevel > 0 && outTokens == 0 && blockAsked > 0 &&
#ifdef MUTANT_BLOCK_OUTLIVES
        poolFor > 0 ->
#else
        poolFor >= BLOCK_TERM ->
#endif
        blockTokens = poolLevel;
        poolLevel = 0;
        outTokens = blockTokens;
        outFor = BLOCK_TERM;
        blockMessage = 2
       }
    :: atomic { outTokens > 0 && outFor == 0 -> outTokens = 0 }
    :: atomic {
        // The loan has lapsed, and with it what the pool holds.
        poolFor == 0 && poolLevel > 0 -> poolLevel = 0
       }
    od
}

active proctype Drawer()
{
end:
    do
    :: atomic { blockMessage == 0 && drawsLeft > 0 && drawerTokens == 0 -> drawsLeft--; blockMessage = 1; blockAsked = BLOCK_TERM }
    :: atomic {
        blockMessage == 2 ->
#ifdef MUTANT_BLOCK_FROM_RECEIPT
        drawerFor = BLOCK_TERM;
#else
        drawerFor = blockAsked;
#endif
        drawerTokens = blockTokens;
        blockMessage = 0; blockTokens = 0; blockAsked = 0
       }
    :: atomic { blockMessage != 0 -> blockMessage = 0; blockTokens = 0; blockAsked = 0 }
    :: atomic { drawerTokens > 0 && drawerFor > 0 -> drawerTokens--; spent++ }
    :: atomic { drawerTokens > 0 && drawerFor == 0 -> drawerTokens = 0 }
    od
}

active proctype Time()
{
end:
    do
    :: atomic { less(lentFor); less(loanAsked); less(poolFor); less(outFor); less(blockAsked); less(drawerFor) }
    :: atomic { spent > LIMIT -> assert(false) }
    :: atomic { !lent && poolFor > 0 -> assert(false) }
    :: atomic { !lent && drawerTokens > 0 && drawerFor > 0 -> assert(false) }
    :: atomic { lenderLevel + poolLevel * (poolFor > 0 -> 1 : 0) + drawerTokens * (drawerFor > 0 -> 1 : 0) > BURST -> assert(false) }
    od
}
