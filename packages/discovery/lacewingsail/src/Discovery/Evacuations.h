#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lacewingsail {

/// \brief What a record in the store says about an availability zone: the operators want nothing more sent to its backend
/// servers, or have taken that back.
struct ZoneEvacuation {
    ZoneId zone;
    StorePosition position {};
    /// The evacuation has been taken back.
    bool ended = false;

    bool operator==(const ZoneEvacuation&) const = default;
};

/// \brief What a record changed.
enum class EvacuationChange {
    None,
    Began,
    Ended,
    /// More zones are evacuated than can be kept; the record was ignored.
    Refused,
};

/// \brief The newest known record of each availability zone that is or was evacuated.
///
/// Records come from the store and from other hosts, in any order. The record with the highest position holds, so that a late or
/// repeated one changes nothing; at the same position an end holds. In a newer era than that of the known record:
/// - a copy of the store that shows an evacuation again which is known to have ended does not bring it back;
/// - a copy that lacks an evacuation does not end it: only a record of the newer era does.
///
/// Ended evacuations are kept, for hosts that have not heard of the end.
class Evacuations {
public:
    /// \brief Applies one record.
    EvacuationChange apply(const ZoneEvacuation&);

    /// \returns the ends that follow from the newest records of all zones, which show an evacuation of the zones in \p shown only.
    /// \param end position before which all records were written when the read started.
    std::vector<ZoneEvacuation> missingFrom(std::span<const ZoneId> shown, StorePosition end) const;

    bool isEvacuated(const ZoneId&) const;

    /// \returns the known records, those of ended evacuations included.
    std::vector<ZoneEvacuation> records() const;

    static constexpr std::size_t maxZones = 64;

private:
    struct Entry {
        StorePosition position {};
        bool ended = false;
        /// Offset of the record that began the latest evacuation, if it is known.
        std::optional<LogOffset> beganAt;
    };

    bool makeRoom();

    std::map<ZoneId, Entry> m_entries;
};

} // namespace lacewingsail
