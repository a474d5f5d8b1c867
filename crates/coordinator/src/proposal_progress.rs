//! The progress of a proposal, determined from a read of its verdict; does no I/O.

use crate::protocol::ReadResponse;

/// The progress of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalProgress {
    /// Not judged yet, or the replica that was read lags behind.
    Pending,
    /// Rejected for these reasons.
    Rejected(Vec<String>),
    /// Admitted. The final step for a contract.
    Admitted,
    /// The rule set is admitted, but not acknowledged by all gateways.
    Unacknowledged {
        /// The set's version.
        version: u64,
        /// Gateways with a session that have not acknowledged it.
        gateways: Vec<String>,
    },
    /// The rule set is in force: no gateway decides calls by an earlier set any more.
    InForce {
        /// The set's version.
        version: u64,
        /// Departed gateways that may still apply an earlier set without a session.
        unknown: Vec<String>,
    },
    /// A later rule set of the customer was admitted.
    Superseded {
        /// The set's version.
        version: u64,
        /// The version of the later set.
        by: u64,
    },
}

/// The progress of the proposal whose verdict was read.
pub fn progress(response: &ReadResponse) -> ProposalProgress {
    let Some(verdict) = &response.verdict else {
        return ProposalProgress::Pending;
    };
    if !verdict.admitted {
        return ProposalProgress::Rejected(verdict.reasons.clone());
    }
    if verdict.set_version == 0 {
        return ProposalProgress::Admitted;
    }
    let version = verdict.set_version;
    let Some(in_force) = &response.in_force else {
        // A set that allows every call is removed once it is in force.
        return ProposalProgress::InForce {
            version,
            unknown: Vec::new(),
        };
    };
    if in_force.version > version {
        return ProposalProgress::Superseded {
            version,
            by: in_force.version,
        };
    }
    if in_force.in_force {
        return ProposalProgress::InForce {
            version,
            unknown: in_force.unknown.clone(),
        };
    }
    ProposalProgress::Unacknowledged {
        version,
        gateways: in_force.missing.clone(),
    }
}

#[cfg(test)]
mod tests;
