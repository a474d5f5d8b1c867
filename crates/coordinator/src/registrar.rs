//! How the registrar judges what was proposed, from a look at it and at what it rests on; free of I/O.

use crate::state::wrong_in;
use chalkdeck_contract::{
    check, Bounds, Effect, Group, Level, Promise, Spoken, Version, VersionError,
};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use std::collections::BTreeMap;
use wire::promise::{Effect as WireEffect, Group as WireGroup};

/// The version that calls without one count under, until the service has an admitted one.
pub const UNVERSIONED: &str = "unversioned";

/// Judges the proposal that a look shows, if there is one.
pub fn judge(look: &wire::LookAnswer, token: u64) -> Option<wire::Judge> {
    let proposal = look.proposals.first()?;
    let breaks = match &proposal.what {
        Some(wire::proposal::What::Contract(contract)) => breaks_of(contract, look),
        Some(wire::proposal::What::Rules(set)) => {
            wrong_with(set, proposal.force, look.tried.as_ref())
        }
        None => vec!["nothing was proposed".to_string()],
    };
    Some(wire::Judge {
        token,
        proposal: proposal.id,
        admit: breaks.is_empty(),
        breaks,
        speakers: look.speakers,
    })
}

fn wrong_with(set: &wire::RuleSet, force: bool, tried: Option<&wire::Tried>) -> Vec<String> {
    let lock = tried.filter(|t| t.locks_out && !force).map(|t| {
        format!("all {} calls of the last minutes would be denied: say so explicitly (--force), or see `rules check`", t.calls)
    });
    wrong_in(set).into_iter().chain(lock).collect()
}

/// Why a contract is not sound by itself.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum ContractError {
    /// A promise without an effect.
    #[error("promises: {0}: effect: expected SAFE, KEYED or UNSAFE")]
    #[diagnostic(
        code(chalkdeck::contract::effect),
        help("say whether a call may be repeated: as it is, under a key, or not at all")
    )]
    Effect(String),
    /// Figures that cannot be.
    #[error("promises: {0}: expected units and a deadline above 0, and an aim within it")]
    #[diagnostic(
        code(chalkdeck::contract::figures),
        help("take them from the class and route that the method has in the gateways' settings")
    )]
    Figures(String),
    /// Two promises of one method.
    #[error("promises: {0}: expected once")]
    #[diagnostic(code(chalkdeck::contract::twice), help("one promise for each method"))]
    Twice(String),
    /// See [`VersionError`].
    #[error(transparent)]
    #[diagnostic(transparent)]
    Version(#[from] VersionError),
}

fn promise_of(p: &wire::Promise) -> Result<Promise, ContractError> {
    let effect = match p.effect() {
        WireEffect::Safe => Effect::Safe,
        WireEffect::Keyed => Effect::Keyed,
        WireEffect::Unsafe => Effect::Unsafe,
        WireEffect::Unspecified => {
            return Err(ContractError::Effect(p.method.clone()));
        }
    };
    let group = match p.group() {
        WireGroup::All => Group::All,
        WireGroup::Zone => Group::Zone,
        WireGroup::Cell | WireGroup::Unspecified => Group::Cell,
    };
    let sound = p.units.is_finite()
        && p.units > 0.0
        && p.worth.is_finite()
        && p.worth >= 0.0
        && p.deadline_ms > 0;
    if !sound || p.aim_ms > p.deadline_ms {
        return Err(ContractError::Figures(p.method.clone()));
    }
    Ok(Promise {
        effect,
        group,
        window_ms: p.window_ms,
        aim_ms: if p.aim_ms == 0 {
            p.deadline_ms
        } else {
            p.aim_ms
        },
        deadline_ms: p.deadline_ms,
        units: p.units,
        worth: p.worth,
    })
}

/// A version as the checker takes it. Errors: see [`ContractError`].
pub fn version_of(contract: &wire::Contract) -> Result<Version, ContractError> {
    let mut promises = BTreeMap::new();
    for p in &contract.promises {
        if promises.insert(p.method.clone(), promise_of(p)?).is_some() {
            return Err(ContractError::Twice(p.method.clone()));
        }
    }
    Ok(Version::read(
        &contract.version,
        &contract.service,
        &contract.descriptors,
        promises,
    )?)
}

/// Who speaks what, as a look tells it.
fn spoken_of(look: &wire::LookAnswer) -> Spoken {
    let mut spoken = Spoken::default();
    for v in &look.spoken {
        for u in &v.uses {
            let repeats = Some(u.repeats_ms).filter(|r| *r > 0);
            spoken.declare(&v.version, &u.customer, u.declared, repeats);
            if u.calls > 0 {
                spoken.seen(&v.version, &u.customer, u.calls, u.last_ms);
            }
        }
        if v.retired_ms > 0 {
            spoken.retired.insert(v.version.clone(), v.retired_ms);
        }
    }
    spoken
}

fn breaks_of(contract: &wire::Contract, look: &wire::LookAnswer) -> Vec<String> {
    let new = match version_of(contract) {
        Ok(new) => new,
        Err(why) => return vec![why.to_string()],
    };
    let level = if contract.json {
        Level::WireAndJson
    } else {
        Level::Wire
    };
    let mut known: Vec<&wire::Admitted> = look.admitted.iter().filter(|a| !a.retired).collect();
    known.sort_by_key(|a| a.admitted_ms);
    let by_name = |name: &str| {
        let name_of = |a: &&&wire::Admitted| a.contract.as_ref().is_some_and(|c| c.version == name);
        known.iter().find(name_of).and_then(|a| a.contract.as_ref())
    };
    let spoken = spoken_of(look);
    let mut out = Vec::new();
    for version in spoken.versions(look.time_ms, look.dead_after_ms) {
        let speakers = spoken.speakers(&version, look.time_ms, look.dead_after_ms);
        let old = if version == UNVERSIONED {
            known.first().and_then(|a| a.contract.as_ref())
        } else {
            by_name(&version)
        };
        let who = who_speaks(&speakers, look.time_ms);
        let Some(old) = old else {
            // Nothing was ever admitted: what calls without a version mean is not known, and nothing is promised of it.
            if version != UNVERSIONED && !known.is_empty() && version != contract.version {
                out.push(format!(
                    "version {version} is spoken by {who} and not known: propose it first, or retire it"
                ));
            }
            continue;
        };
        let repeats = speakers.iter().filter_map(|(_, u)| u.repeats_ms).max();
        let bounds = Bounds {
            repeats_ms: repeats,
            burst: None,
        };
        match version_of(old) {
            Ok(old) => out.extend(check(&old, &new, level, bounds).into_iter().map(|b| {
                format!(
                    "{b}; version {version} is spoken by {who}; {}",
                    b.rule.help()
                )
            })),
            Err(why) => out.push(format!(
                "version {version}, spoken by {who}, cannot be read: {why}"
            )),
        }
    }
    out
}

fn who_speaks(speakers: &[(String, chalkdeck_contract::Use)], now_ms: u64) -> String {
    let one = |(customer, u): &(String, chalkdeck_contract::Use)| match u.last_ms {
        Some(at) => {
            format!(
                "{customer} ({} calls, last {} s ago)",
                u.calls,
                now_ms.saturating_sub(at) / 1_000
            )
        }
        None => format!("{customer} (declared)"),
    };
    let more = speakers.len().saturating_sub(5);
    let named = speakers
        .iter()
        .take(5)
        .map(one)
        .collect::<Vec<_>>()
        .join(", ");
    if more > 0 {
        format!("{named} and {more} more")
    } else {
        named
    }
}
