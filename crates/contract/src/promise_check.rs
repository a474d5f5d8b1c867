//! Finds changes that weaken the promise for a method.

use crate::{CompatibilityRule, Idempotency, Incompatibility, Promise, SubscriberBounds, Witness};

/// The check of one method's old and new promise.
pub(crate) struct PromiseCheck<'a> {
    /// The method as `SERVICE/METHOD`.
    pub(crate) path: &'a str,
    pub(crate) old: &'a Promise,
    pub(crate) new: &'a Promise,
    pub(crate) bounds: SubscriberBounds,
    pub(crate) found: &'a mut Vec<Incompatibility>,
}

impl PromiseCheck<'_> {
    /// Adds an incompatibility for each respect in which the new promise is weaker than the old one.
    pub(crate) fn run(&mut self) {
        self.check_idempotency();
        if self.is_keyed_in_both() {
            self.check_key_scope();
            self.check_key_window();
        }
        self.check_duration(
            CompatibilityRule::PromiseDeadline,
            "deadline",
            self.old.deadline_ms,
            self.new.deadline_ms,
        );
        self.check_duration(
            CompatibilityRule::PromiseAim,
            "aim",
            self.old.latency_objective_ms,
            self.new.latency_objective_ms,
        );
        self.check_units();
        self.check_weight_per_unit();
    }

    fn report(&mut self, rule: CompatibilityRule, change: String, call: String) {
        self.found.push(Incompatibility {
            path: self.path.to_string(),
            rule,
            change,
            witness: Witness::Call(call),
        });
    }

    fn is_keyed_in_both(&self) -> bool {
        self.old.idempotency == Idempotency::Keyed && self.new.idempotency == Idempotency::Keyed
    }

    fn check_idempotency(&mut self) {
        let (old, new) = (self.old.idempotency, self.new.idempotency);
        if new <= old {
            return;
        }
        self.report(
            CompatibilityRule::PromiseEffect,
            format!("{old} was promised, {new} is proposed"),
            format!("a call of {} that is sent again after a time-out, as its subscriber may, has its effect twice", self.path),
        );
    }

    fn check_key_scope(&mut self) {
        let (old, new) = (self.old.key_scope, self.new.key_scope);
        if new >= old {
            return;
        }
        self.report(
            CompatibilityRule::PromiseGroup,
            format!("group {old} was promised, {new} is proposed"),
            format!("a call of {} that is sent again under its key to a server outside its {new} has its effect twice", self.path),
        );
    }

    fn check_key_window(&mut self) {
        let window = self.new.key_window_ms;
        let longest_retry = self
            .bounds
            .longest_retry_ms
            .unwrap_or(self.old.key_window_ms);
        if window >= longest_retry {
            return;
        }
        self.report(
            CompatibilityRule::PromiseWindow,
            format!("window of {window} ms, repeats last {longest_retry} ms"),
            format!("a call of {} that is sent again under its key {longest_retry} ms after the first has its effect twice", self.path),
        );
    }

    fn check_duration(&mut self, rule: CompatibilityRule, name: &str, old_ms: u64, new_ms: u64) {
        if new_ms >= old_ms {
            return;
        }
        self.report(
            rule,
            format!("{name} of {old_ms} ms was promised, {new_ms} ms is proposed"),
            format!(
                "a call of {} that takes {old_ms} ms, as it might, comes after the {name}",
                self.path
            ),
        );
    }

    fn check_units(&mut self) {
        let (old, new) = (self.old.units, self.new.units);
        let Some(burst) = self.bounds.smallest_burst else {
            return;
        };
        if new > burst && old <= burst {
            self.report(
                CompatibilityRule::PromiseUnits,
                format!(
                    "{old} units were promised, {new} are proposed, above a plan's burst of {burst}"
                ),
                format!(
                    "a call of {} on that plan is refused however long its customer waits",
                    self.path
                ),
            );
        }
    }

    fn check_weight_per_unit(&mut self) {
        let (old, new) = (self.old.weight_per_unit(), self.new.weight_per_unit());
        if new < old {
            self.report(
                CompatibilityRule::PromiseWorth,
                format!("worth for a unit was {old:.3}, {new:.3} is proposed"),
                format!("when a site is lost, calls of {} are refused while the others are served that they stood beside", self.path),
            );
        }
    }
}
