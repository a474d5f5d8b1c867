//! Operators' overrides of sites: stored at once, then published to the gateways by the leader of an election.

use super::{done, rejected, ReplicatedState, SITE_OVERRIDES_ELECTION};
use crate::protocol::{wire, CommandResponse, ResponseCode, SiteOverride};

/// Maximum number of sites with an override.
const MAX_SITES: usize = 64;
/// Actions that an operator can request.
const OVERRIDE_ACTIONS: [&str; 3] = ["hold", "drain", "let-back"];

impl ReplicatedState {
    pub(super) fn override_site(&mut self, request: &wire::OverrideSite) -> CommandResponse {
        if !OVERRIDE_ACTIONS.contains(&request.action.as_str()) {
            let reason = format!(
                "word: expected hold, drain or let-back, found '{}'",
                request.action
            );
            return rejected(ResponseCode::Refused, reason);
        }
        let is_known = self.site_overrides.contains_key(&request.site);
        let is_full = self.site_overrides.len() >= MAX_SITES && !is_known;
        if request.site.is_empty() || is_full {
            let reason =
                format!("expected a site's name, and at most {MAX_SITES} sites with a word");
            return rejected(ResponseCode::Full, reason);
        }
        let site_override = SiteOverride {
            site: request.site.clone(),
            action: request.action.clone(),
            changed: self.increment_version(),
            published: false,
        };
        self.site_overrides
            .insert(request.site.clone(), site_override);
        done()
    }

    /// Publishes overrides up to a version of the state, at the request of the election's leader.
    pub(super) fn publish_site_overrides(
        &mut self,
        publish: &wire::PublishOverrides,
    ) -> CommandResponse {
        if let Err(stale) = self.check_leader(SITE_OVERRIDES_ELECTION, publish.token) {
            return stale;
        }
        for site_override in self.site_overrides.values_mut() {
            if site_override.published || site_override.changed > publish.up_to_version {
                continue;
            }
            self.version += 1;
            site_override.published = true;
            site_override.changed = self.version;
        }
        done()
    }
}
