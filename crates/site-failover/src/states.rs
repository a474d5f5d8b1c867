//! How a site's state follows from the one before and what is seen now.

use crate::State;

/// What is seen of a site now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Seen {
    /// Silent, gone or unlisted for so long that it counts as lost.
    pub silent: bool,
    /// Nothing heard for longer than usual.
    pub doubtful: bool,
    /// Most others are silent, too, while one's own site answers.
    pub alone: bool,
    /// Its hold-out after earlier losses is over.
    pub hold_over: bool,
    /// It answered since it went out.
    pub heard: bool,
    /// A return is under way.
    pub pacing: bool,
    /// That return has reached the whole part, and it was borne.
    pub paced: bool,
}

/// The state after `state`. An operator's word alone leads into and out of [`State::HeldOut`].
pub fn next(state: State, seen: Seen) -> State {
    match state {
        State::HeldOut => State::HeldOut,
        _ if state.is_out() && seen.silent => state,
        _ if seen.silent && seen.alone => State::CutOff,
        _ if seen.silent => State::Lost,
        State::Lost | State::CutOff if seen.hold_over && seen.heard => State::Returning,
        State::Lost | State::CutOff => state,
        _ if seen.doubtful => State::Doubtful,
        State::Returning if seen.paced => State::Serving,
        State::Returning => State::Returning,
        // A return that was in doubt for a moment goes on where it was.
        State::Doubtful if seen.pacing => State::Returning,
        State::Doubtful | State::Serving => State::Serving,
    }
}
