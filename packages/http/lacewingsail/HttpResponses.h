#pragma once

/// \brief The part of the package `http` that reads responses and needs Beast's headers; for sources, not for headers.

#include <lacewingsail/Http.h>

#include "src/Http/ResponseReader.h"
