//! The replicas of the configuration, and the commands that all of them know.

use super::{done, ReplicatedState};
use crate::ids::ReplicaId;
use crate::protocol::{wire, CommandResponse};

/// The protocol version of a replica that has not announced one.
const FIRST_PROTOCOL_VERSION: u32 = 1;

impl ReplicatedState {
    /// Begins a configuration. Called by each replica as it enters it, equally at each.
    pub fn begin_configuration(&mut self, number: u32, members: Vec<wire::Member>) {
        self.configuration = number;
        self.members = members
            .into_iter()
            .map(|member| (ReplicaId(member.id), member))
            .collect();
    }

    /// A replica of the configuration.
    pub fn member(&self, id: ReplicaId) -> Option<&wire::Member> {
        self.members.get(&id)
    }

    /// The protocol version that every replica supports.
    pub fn supported_version(&self) -> u32 {
        let versions = self.members.values().map(|member| member.protocol_version);
        versions
            .min()
            .unwrap_or_default()
            .max(FIRST_PROTOCOL_VERSION)
    }

    /// A replica announces which commands it knows, and how often it was started.
    pub(super) fn announce_version(
        &mut self,
        announcement: &wire::AnnounceVersion,
    ) -> CommandResponse {
        // The fleet's state is named after the first replica that is heard.
        if self.cluster == 0 {
            self.cluster = announcement.cluster;
        }
        if let Some(member) = self.members.get_mut(&ReplicaId(announcement.replica)) {
            member.protocol_version = announcement.protocol_version;
            member.epoch = member.epoch.max(announcement.epoch);
        }
        done()
    }
}
