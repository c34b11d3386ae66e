#pragma once

#include <lacewingsail/ConfigurationSync.h>
#include <lacewingsail/peer.pb.h>

#include <atomic>

namespace lacewingsail::internal {

/// \brief Makes and takes the messages in which hosts tell each other what they know.
class ExchangeMessages {
public:
    explicit ExchangeMessages(const ConfigurationPeersParts&);

    /// \param wholeSet whether to name every withdrawn key instead of the latest ones.
    protocol::Exchange make(bool wholeSet) const;

    /// \brief Takes over what another host says. \param asOf an instant before the message was made, or nothing if that is not known.
    /// \returns whether this host now knows every withdrawal that the other one knew.
    bool take(const protocol::Exchange&, std::optional<MonotonicTime> asOf) const;

    /// \returns whether the own set of withdrawn keys differs from the one that the message describes.
    bool differsFrom(const protocol::Exchange&) const;

    void setLeaving() { m_leaving = true; }

private:
    void noteAges(const protocol::Exchange&, MonotonicTime asOf) const;

    const ConfigurationPeersParts m_parts;
    std::atomic<bool> m_leaving { false };
};

} // namespace lacewingsail::internal
