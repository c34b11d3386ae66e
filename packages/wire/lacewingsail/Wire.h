#pragma once

/// \brief Umbrella header of the package `wire`: JSON codecs of settings, configuration and log records,
/// compression and digests. The committed protobuf code is a target of its own, `lacewingsail::protocol`.

#include <lacewingsail/World.h>

#include "src/Wire/ForwardDeclarations.h"

#include "src/Wire/Compression.h"
#include "src/Wire/ConfigurationCodec.h"
#include "src/Wire/Digest.h"
#include "src/Wire/GatewaySettingsCodec.h"
#include "src/Wire/HostListCodec.h"
#include "src/Wire/Problems.h"
#include "src/Wire/RecordCodec.h"
#include "src/Wire/SettingsCodec.h"
#include "src/Wire/SlotCodec.h"
