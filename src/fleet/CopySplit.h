#pragma once

#include <cstddef>
#include <vector>

#include "poplartrack/fleet/EngineProfile.h"

namespace poplartrack {

/** Indexes of the replicas that hold one copy, into the list that was split. */
using CopyMembers = std::vector<std::size_t>;

/**
 * Splits the replicas of an availability zone into copies of the model.
 *
 * A token passes every replica of its copy, so one slow accelerator in a copy
 * of fast ones delays all its answers. Two kinds of split are compared by the
 * answers per second of all copies together. A round-robin split makes the
 * copies alike. The other kind puts the fastest replicas together, as few as
 * hold a copy: one copy is then fast, and slow ones replace it when it loses a
 * replica.
 *
 * Several copies are preferred to one, because the loss of a replica then
 * affects only one of them. Replicas in no copy remain free to duplicate
 * others.
 *
 * The load is unknown when copies are laid out, so all are taken to be full.
 * Has no side effects.
 *
 * @param aReplicas fast ones first
 * @param aTokenTarget tokens that each replica should keep memory for
 */
std::vector<CopyMembers>
splitCopies(const EngineProfile& aProfile,
            const std::vector<const AcceleratorKind*>& aReplicas,
            double aTokenTarget);

} // namespace poplartrack
