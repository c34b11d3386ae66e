#pragma once

/// \brief Umbrella header of the package `limits`: enforces the rate and burst of each client account
/// across all hosts.

#include <lacewingsail/Observe.h>
#include <lacewingsail/Platform.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include "src/Limits/ForwardDeclarations.h"

#include "src/Limits/AccountLedger.h"
#include "src/Limits/EvenSplit.h"
#include "src/Limits/LimitLedgers.h"
#include "src/Limits/PooledAdmission.h"
#include "src/Limits/SlotClaims.h"
#include "src/Limits/SlotLeaseManager.h"
