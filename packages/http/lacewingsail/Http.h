#pragma once

/// \brief Umbrella header of the package `http`: small HTTP/1.1 servers and clients over Boost.Beast for control
/// traffic. The path of callers' requests is in `proxy`.

#include <lacewingsail/World.h>

#include "src/Http/ForwardDeclarations.h"

#include "src/Http/HttpCalls.h"
#include "src/Http/HttpClient.h"
#include "src/Http/HttpServer.h"
#include "src/Http/Message.h"
#include "src/Http/RawHeader.h"
#include "src/Http/ResponseCheck.h"
