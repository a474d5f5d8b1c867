//! What a partition's responses tell about its state: whether it has restarted, and whether increments were lost.

use chalkdeck_proto::chalkdeck::counter::v1::AddResponse;

/// What has happened to a partition's totals between two responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StateChange {
    /// It was restarted and has recovered its totals.
    Recovered,
    /// It has other totals than before: earlier increments are lost.
    Emptied,
    /// It has its totals as they were earlier.
    WentBack,
}

/// Follows the responses of one partition.
#[derive(Debug, Default)]
pub(crate) struct StateTracker {
    incarnation: u64,
    epoch: u64,
    position: u64,
}

impl StateTracker {
    /// Compares a response with the one before. A partition without a log does not identify its state, so nothing follows.
    pub(crate) fn observe(&mut self, response: &AddResponse) -> Option<StateChange> {
        if response.incarnation == 0 {
            return None;
        }
        let current = StateTracker {
            incarnation: response.incarnation,
            epoch: response.epoch,
            position: response.position,
        };
        let before = std::mem::replace(self, current);
        if before.incarnation == 0 {
            None
        } else if before.incarnation != response.incarnation {
            Some(StateChange::Emptied)
        } else if response.position < before.position || response.epoch < before.epoch {
            Some(StateChange::WentBack)
        } else {
            (response.epoch > before.epoch).then_some(StateChange::Recovered)
        }
    }
}

#[cfg(test)]
mod tests;
