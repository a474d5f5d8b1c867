//! The replicas of the configuration, and the protocol version that all of them support.

use super::{done, ReplicatedState, PROTOCOL_VERSION};
use crate::ids::ReplicaId;
use crate::protocol::{wire, CommandResponse};

/// The protocol version of a replica that has not announced one.
const FIRST_PROTOCOL_VERSION: u32 = 1;

impl ReplicatedState {
    /// Begins a configuration. Every replica calls this with the same arguments as it enters the configuration.
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

    /// The protocol version that every replica supports; that of this program if the state has no replicas yet.
    pub fn supported_protocol_version(&self) -> u32 {
        let versions = self.members.values().map(|member| member.protocol_version);
        versions
            .min()
            .unwrap_or(PROTOCOL_VERSION)
            .max(FIRST_PROTOCOL_VERSION)
    }

    /// Records the protocol version of a replica, and its epoch: the number of starts on its disk.
    pub(super) fn announce_version(
        &mut self,
        announcement: &wire::AnnounceVersion,
    ) -> CommandResponse {
        // The first announcement sets the id of the cluster, to the incarnation of its replica.
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
