//! What the decisions promise of a method, and which changes take something back.

use crate::breaks::{Break, Rule, Witness};

/// What a repeat of a call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Effect {
    /// Nothing.
    Safe,
    /// Nothing within the group and the window of its key.
    Keyed,
    /// It has its effect again.
    Unsafe,
}

/// Which servers drop repeats of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Group {
    /// Those of one cell.
    Cell,
    /// Those of one zone.
    Zone,
    /// All.
    All,
}

/// What is promised of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct Promise {
    /// What a repeat does.
    pub effect: Effect,
    /// Who drops repeats of a key.
    pub group: Group,
    /// For how long, in milliseconds.
    pub window_ms: u64,
    /// An answer within this time is in time, in milliseconds.
    pub aim_ms: u64,
    /// The longest that a call may take, in milliseconds.
    pub deadline_ms: u64,
    /// What a call takes from the quota.
    pub units: f64,
    /// Worth of an answer in time.
    pub worth: f64,
}

impl Promise {
    /// Worth for each unit: when a site is lost, what has less of it is refused first.
    fn density(&self) -> f64 {
        self.worth / self.units.max(f64::MIN_POSITIVE)
    }
}

/// What subscribers rest on beside the promise itself.
pub(crate) struct Rests {
    /// How long repeats of one call may last at its clients, in milliseconds; none: as long as the window that was promised.
    pub(crate) repeats_ms: Option<u64>,
    /// The smallest burst of the plans of those who call it; none: no plan bounds it.
    pub(crate) burst: Option<f64>,
}

/// What of an old promise a new one takes back.
pub(crate) fn compare(
    path: &str,
    old: &Promise,
    new: &Promise,
    rests: &Rests,
    out: &mut Vec<Break>,
) {
    let mut say = |rule, what: String, call: String| {
        out.push(Break {
            path: path.into(),
            rule,
            what,
            witness: Witness::Call(call),
        });
    };
    if new.effect > old.effect {
        let what = format!(
            "{:?} was promised, {:?} is proposed",
            old.effect, new.effect
        );
        let call = format!("a call of {path} that is sent again after a time-out, as its subscriber may, has its effect twice");
        say(Rule::PromiseEffect, what, call);
    }
    if old.effect == Effect::Keyed && new.effect == Effect::Keyed && new.group < old.group {
        let what = format!(
            "group {:?} was promised, {:?} is proposed",
            old.group, new.group
        );
        let call = format!("a call of {path} that is sent again under its key to a server outside its {:?} has its effect twice", new.group);
        say(Rule::PromiseGroup, what, call);
    }
    let lasts = rests.repeats_ms.unwrap_or(old.window_ms);
    if old.effect == Effect::Keyed && new.effect == Effect::Keyed && new.window_ms < lasts {
        let what = format!("window of {} ms, repeats last {lasts} ms", new.window_ms);
        let call = format!("a call of {path} that is sent again under its key {lasts} ms after the first has its effect twice");
        say(Rule::PromiseWindow, what, call);
    }
    for (rule, name, was, is) in [
        (
            Rule::PromiseDeadline,
            "deadline",
            old.deadline_ms,
            new.deadline_ms,
        ),
        (Rule::PromiseAim, "aim", old.aim_ms, new.aim_ms),
    ] {
        if is < was {
            let call = format!(
                "a call of {path} that takes {was} ms, as it might, comes after the {name}"
            );
            say(
                rule,
                format!("{name} of {was} ms was promised, {is} ms is proposed"),
                call,
            );
        }
    }
    if let Some(burst) = rests
        .burst
        .filter(|burst| new.units > *burst && old.units <= *burst)
    {
        let what = format!(
            "{} units were promised, {} are proposed, above a plan's burst of {burst}",
            old.units, new.units
        );
        say(
            Rule::PromiseUnits,
            what,
            format!("a call of {path} on that plan is refused however long its customer waits"),
        );
    }
    if new.density() < old.density() {
        let what = format!(
            "worth for a unit was {:.3}, {:.3} is proposed",
            old.density(),
            new.density()
        );
        let call = format!("when a site is lost, calls of {path} are refused while the others are served that they stood beside");
        say(Rule::PromiseWorth, what, call);
    }
}
