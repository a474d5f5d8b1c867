//! How far a proposal has come, from a look at it; free of I/O.

use chalkdeck_proto::chalkdeck::keeper::v1 as wire;

/// See the parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No registrar has judged it yet, or the keeper that was asked is behind.
    Waits,
    /// Not admitted: what it would break.
    Rejected(Vec<String>),
    /// Admitted; of a contract that is all.
    Admitted,
    /// A set that these gateways have not said to apply.
    Missing {
        /// The set's version.
        version: u64,
        /// Gateways with a session.
        gateways: Vec<String>,
    },
    /// From here on no gateway admits a call by an earlier set.
    InForce {
        /// The set's version.
        version: u64,
        /// But for these, which are cut off under a set that is kept then: nobody can speak for them.
        unknown: Vec<String>,
    },
    /// Another set of the customer came after it.
    Followed {
        /// The set's version.
        version: u64,
        /// The later one.
        by: u64,
    },
}

/// Reads a look at a proposal's verdict.
pub fn progress(look: &wire::LookAnswer) -> Progress {
    let Some(verdict) = &look.verdict else { return Progress::Waits };
    if !verdict.admitted {
        return Progress::Rejected(verdict.breaks.clone());
    }
    if verdict.set_version == 0 {
        return Progress::Admitted;
    }
    let version = verdict.set_version;
    match &look.in_force {
        // A set that allows everything is forgotten once it is in force.
        None => Progress::InForce { version, unknown: Vec::new() },
        Some(of) if of.version > version => Progress::Followed { version, by: of.version },
        Some(of) if of.in_force => Progress::InForce { version, unknown: of.unknown.clone() },
        Some(of) => Progress::Missing { version, gateways: of.missing.clone() },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_step_is_told_for_what_it_is() {
        let look = |verdict: Option<wire::Verdict>, in_force: Option<wire::InForce>| {
            progress(&wire::LookAnswer { verdict, in_force, ..wire::LookAnswer::default() })
        };
        let admitted =
            |set_version| Some(wire::Verdict { admitted: true, set_version, ..wire::Verdict::default() });
        let force = |version, in_force, missing: &[&str], unknown: &[&str]| {
            let names = |list: &[&str]| list.iter().map(|s| s.to_string()).collect();
            Some(wire::InForce { version, in_force, missing: names(missing), unknown: names(unknown) })
        };
        assert_eq!(look(None, None), Progress::Waits);
        let no = wire::Verdict { breaks: vec!["x".into()], ..wire::Verdict::default() };
        assert_eq!(look(Some(no), None), Progress::Rejected(vec!["x".into()]));
        assert_eq!(look(admitted(0), None), Progress::Admitted);
        assert_eq!(look(admitted(2), None), Progress::InForce { version: 2, unknown: vec![] });
        let missing = Progress::Missing { version: 2, gateways: vec!["g1".into()] };
        assert_eq!(look(admitted(2), force(2, false, &["g1"], &[])), missing);
        let but = Progress::InForce { version: 2, unknown: vec!["g2".into()] };
        assert_eq!(look(admitted(2), force(2, true, &[], &["g2"])), but);
        assert_eq!(look(admitted(2), force(3, true, &[], &[])), Progress::Followed { version: 2, by: 3 });
    }
}
