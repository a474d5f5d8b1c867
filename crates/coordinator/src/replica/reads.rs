//! Reads of this replica's state, which may lag behind the state of others.

use super::{Output, Replica};
use crate::ids::{RequesterId, Slot};
use crate::protocol::{wire, ReadKind, ReadRequest, ReadResponse};

impl Replica {
    /// Answers a read.
    pub fn read(&mut self, requester: RequesterId, request: &ReadRequest) {
        let response = self.read_state(request);
        self.outputs
            .push(Output::ReadResponse(requester, Box::new(response)));
    }

    pub(super) fn read_state(&mut self, request: &ReadRequest) -> ReadResponse {
        let is_members_read = request.kind() == ReadKind::Members;
        if is_members_read && request.slot > 0 {
            self.handle_membership_request(Slot(request.slot), request.incarnation);
        }
        let mut response = self.state.read(request, self.settings.unused_after_ms);
        response.leader = self.leader().map_or_else(String::new, |s| s.0.to_string());
        response.has_quorum = self.has_quorum();
        let stored = self.storage.state();
        let configuration = &stored.configuration;
        response.configuration = configuration.number;
        response.members = configuration
            .members
            .iter()
            .map(|member| member.to_wire(self.known_member(member.id)))
            .collect();
        // The reader missed the end of its own configuration, or has none.
        if is_members_read && request.configuration < configuration.number {
            response.base.clone_from(&configuration.base);
        }
        response
    }

    /// The member as stored in the replicated state.
    fn known_member(&self, id: crate::ids::ReplicaId) -> wire::Member {
        self.state.member(id).copied().unwrap_or_default()
    }
}
