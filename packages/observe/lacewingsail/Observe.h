#pragma once

/// \brief Umbrella header of the package `observe`: events as key=value lines, metrics as histograms for each
/// client account or class, and the journal of decisions.

#include <lacewingsail/World.h>

#include "src/Observe/ForwardDeclarations.h"

#include "src/Observe/Event.h"
#include "src/Observe/Journal.h"
#include "src/Observe/LatencyHistogram.h"
#include "src/Observe/LineLog.h"
#include "src/Observe/Metrics.h"
