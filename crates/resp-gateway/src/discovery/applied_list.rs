//! The version of the endpoint list that is applied, and whether a response to one of several calls in flight may be applied to it.

use super::call::SentRequest;
use super::error::DiscoveryError;
use crate::endpoint_list::EndpointList;
use chalkdeck::api::UpdateScope;
use chalkdeck_time::Timestamp;

/// What to do with a valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    Apply,
    /// A response that was received earlier is newer.
    Outdated,
}

/// A version of the list and when it was received.
#[derive(Clone, Copy, Debug)]
struct AppliedVersion {
    version: u64,
    received_at: Timestamp,
}

/// The list that is applied.
#[derive(Debug, Default)]
pub(super) struct AppliedList {
    applied: Option<AppliedVersion>,
}

impl AppliedList {
    /// Judges a valid response to a request.
    ///
    /// # Errors
    /// [`DiscoveryError::Version`]: the list contains changes to a version that is not applied, or to a later one than the agent now has.
    pub(super) fn judge(
        &self,
        request: SentRequest,
        list: &EndpointList,
    ) -> Result<Verdict, DiscoveryError> {
        let is_complete = list.scope == UpdateScope::Complete;
        let unknown_version = Err(DiscoveryError::Version {
            found: list.version,
        });
        let Some(applied) = self.applied else {
            return if is_complete {
                Ok(Verdict::Apply)
            } else {
                unknown_version
            };
        };
        // The agent's versions only go back if it was restarted, which a request that was sent before the applied list was received
        // cannot show: its response may have been on its way for longer.
        let was_sent_before = request.sent_at < applied.received_at;
        if list.version < applied.version && was_sent_before {
            return Ok(Verdict::Outdated);
        }
        if is_complete {
            return Ok(Verdict::Apply);
        }
        let is_base_applied = request.since.is_some_and(|base| base <= applied.version);
        if !is_base_applied || list.version < applied.version {
            return unknown_version;
        }
        Ok(Verdict::Apply)
    }

    /// Records a list as applied.
    pub(super) fn set(&mut self, version: u64, received_at: Timestamp) {
        self.applied = Some(AppliedVersion {
            version,
            received_at,
        });
    }

    /// Forgets the list of the previous agent, whose versions cannot be compared with those of the next one.
    pub(super) fn reset(&mut self) {
        self.applied = None;
    }
}
