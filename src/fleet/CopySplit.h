#pragma once

#include <cstddef>
#include <vector>

#include "poplartrack/fleet/EngineProfile.h"

namespace poplartrack {

/** Replicas that hold one copy together, as places in the list that was split.
 */
using CopyMembers = std::vector<std::size_t>;

/**
 * Splits the replicas of an availability zone into copies of the model.
 *
 * A token passes every part of its copy, so one slow accelerator in a copy of
 * fast ones holds up all its answers. Two ways are compared, by the answers
 * that all copies together give in a second: replicas dealt out in turn, so
 * that copies are alike; and fast ones together, as few as hold a copy, so that
 * one copy is quick and the slow ones stand in when a part of it is lost.
 * Several copies go before one: the loss of a replica then costs one of them.
 * Replicas that no copy names are free to double others.
 *
 * Pure. The load is not known when copies are drawn: all are taken to be full.
 *
 * @param aReplicas fast ones first
 * @param aGoal tokens that each replica is to keep memory for
 */
std::vector<CopyMembers>
splitCopies(const EngineProfile& aProfile,
            const std::vector<const AcceleratorKind*>& aReplicas,
            double aGoal);

} // namespace poplartrack
