//! Detects from a partition's responses whether it has restarted and whether it has lost increments.

use chalkdeck_proto::chalkdeck::counter::v1::AddResponse;

/// A change of a partition's state between two responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StateChange {
    /// It has restarted and recovered its totals.
    Recovered,
    /// It has a new incarnation without its earlier totals: earlier increments are lost.
    LostTotals,
    /// It has its totals of an earlier time: later increments are lost.
    RolledBack,
}

/// The state that the last response of one partition identified.
#[derive(Debug, Default)]
pub(crate) struct StateTracker {
    incarnation: u64,
    epoch: u64,
    position: u64,
}

impl StateTracker {
    /// Compares a response with the one before, and returns the change. A partition without a log sends no incarnation, so that no
    /// change can be detected.
    pub(crate) fn observe(&mut self, response: &AddResponse) -> Option<StateChange> {
        if response.incarnation == 0 {
            return None;
        }
        let current = StateTracker {
            incarnation: response.incarnation,
            epoch: response.epoch,
            position: response.position,
        };
        let previous = std::mem::replace(self, current);
        if previous.incarnation == 0 {
            None
        } else if previous.incarnation != response.incarnation {
            Some(StateChange::LostTotals)
        } else if response.position < previous.position || response.epoch < previous.epoch {
            Some(StateChange::RolledBack)
        } else {
            (response.epoch > previous.epoch).then_some(StateChange::Recovered)
        }
    }
}

#[cfg(test)]
mod tests;
