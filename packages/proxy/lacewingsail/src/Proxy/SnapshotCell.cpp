#include <lacewingsail/Proxy.h>

#include <urcu-bp.h>

#include <cassert>

namespace lacewingsail {

SnapshotCell::SnapshotCell()
    : m_node(new Node { std::make_shared<const FleetSnapshot>() })
{
}

SnapshotCell::~SnapshotCell() { delete m_node; }

std::shared_ptr<const FleetSnapshot> SnapshotCell::current() const
{
    urcu_bp_read_lock();
    std::shared_ptr<const FleetSnapshot> snapshot = rcu_dereference(m_node)->snapshot;
    urcu_bp_read_unlock();
    return snapshot;
}

void SnapshotCell::publish(std::shared_ptr<const FleetSnapshot> snapshot)
{
    assert(snapshot);
    auto* fresh = new Node { std::move(snapshot) };
    const std::lock_guard lock(m_writers);
    Node* old = m_node;
    rcu_assign_pointer(m_node, fresh);
    urcu_bp_synchronize_rcu();
    delete old;
}

} // namespace lacewingsail
