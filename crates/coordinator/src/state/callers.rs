//! Answers that are remembered by caller and number.

use super::{refuse, wire, Code};
use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// Callers whose answers are remembered; the one that was heard longest ago goes first.
pub const MOST_CALLERS: usize = 4_096;
/// Answers that are remembered of each.
const ANSWERS: usize = 32;

#[derive(Clone, Debug, Default)]
pub(super) struct Caller {
    /// The place in the log of its last command.
    pub(super) used: u64,
    pub(super) answers: VecDeque<(u64, wire::Answer)>,
    /// Numbers up to this one are no longer remembered.
    pub(super) floor: u64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Callers {
    pub(super) all: BTreeMap<u64, Caller>,
    /// Callers by when they were last heard.
    used: BTreeMap<u64, u64>,
    /// The place in the log of the last command of a caller that was forgotten.
    pub(super) forgotten_at: u64,
}

impl Callers {
    /// What a command that came before was answered; an answer also where it cannot be told whether it came.
    pub(super) fn heard(
        &mut self,
        caller: u64,
        number: u64,
        begun: u64,
        _index: u64,
    ) -> Option<wire::Answer> {
        let Some(of) = self.all.get(&caller) else {
            // It may be one that was forgotten: then it must have begun before the last one was.
            let may_be_old = begun < self.forgotten_at;
            return may_be_old.then(|| {
                refuse(
                    Code::Forgotten,
                    "it cannot be told any more whether this command was done",
                )
            });
        };
        if let Some((_, answer)) = of.answers.iter().find(|(n, _)| *n == number) {
            return Some(answer.clone());
        }
        (number <= of.floor).then(|| {
            refuse(
                Code::Forgotten,
                "it cannot be told any more whether this command was done",
            )
        })
    }

    pub(super) fn answered(&mut self, caller: u64, number: u64, answer: &wire::Answer, index: u64) {
        let of = self.all.entry(caller).or_default();
        self.used.remove(&of.used);
        of.used = index;
        of.answers.push_back((number, answer.clone()));
        if of.answers.len() > ANSWERS {
            let gone = of.answers.pop_front().map_or(0, |(n, _)| n);
            of.floor = of.floor.max(gone);
        }
        self.used.insert(index, caller);
        while self.all.len() > MOST_CALLERS {
            let Some((used, oldest)) = self.used.pop_first() else {
                return;
            };
            self.all.remove(&oldest);
            self.forgotten_at = self.forgotten_at.max(used);
        }
    }

    pub(super) fn to_wire(&self) -> Vec<wire::Answered> {
        let one = |(caller, of): (&u64, &Caller)| wire::Answered {
            caller: *caller,
            used: of.used,
            numbers: of.answers.iter().map(|(n, _)| *n).collect(),
            answers: of.answers.iter().map(|(_, a)| a.encode_to_vec()).collect(),
            floor: of.floor,
        };
        self.all.iter().map(one).collect()
    }
    pub(super) fn from_wire(list: &[wire::Answered], forgotten_at: u64) -> Option<Callers> {
        let mut callers = Callers {
            forgotten_at,
            ..Callers::default()
        };
        for a in list {
            let answers = a.answers.iter().map(|b| wire::Answer::decode(&b[..]).ok());
            let answers = answers.collect::<Option<Vec<_>>>()?;
            let answers = a.numbers.iter().copied().zip(answers).collect();
            callers.all.insert(
                a.caller,
                Caller {
                    used: a.used,
                    answers,
                    floor: a.floor,
                },
            );
            callers.used.insert(a.used, a.caller);
        }
        Some(callers)
    }
}
