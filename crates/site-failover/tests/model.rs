//! Every order of loss, cut, heal and looks of two gateways at one site: nobody stays with a lost site, nobody stays
//! away from one that is back. The transitions are the shipped ones; time is a few ticks.
use chalkdeck_site_failover::states::{next, Seen};
use chalkdeck_site_failover::State;
use stateright::{Checker, Model, Property};

/// Looks after which silence counts as doubt, and as loss; looks that a hold-out lasts, and a return.
const DOUBT: u8 = 1;
const LOSS: u8 = 2;
const HOLD: u8 = 2;
const STEPS: u8 = 2;
const TROUBLES: u8 = 5;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct View {
    state: State,
    quiet: u8,
    held: u8,
    heard: bool,
    steps: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct World {
    down: bool,
    cut: [bool; 2],
    views: [View; 2],
    troubles: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Down,
    Up,
    Cut(usize),
    Heal(usize),
    Look(usize),
}

struct Site;

impl Site {
    /// One gateway sends what its state lets it, hears or not, and looks.
    fn look(world: &World, g: usize) -> View {
        let mut v = world.views[g].clone();
        let hears = !world.down && !world.cut[g];
        v.quiet = if hears { 0 } else { (v.quiet + 1).min(LOSS) };
        v.heard |= hears && v.state.is_out();
        v.held = v.held.saturating_sub(1);
        v.steps = (v.steps + u8::from(hears && v.state == State::Returning)).min(STEPS);
        let seen = Seen {
            silent: v.quiet >= LOSS,
            doubtful: v.quiet >= DOUBT,
            alone: world.cut[g],
            hold_over: v.held == 0,
            heard: v.heard,
            pacing: v.steps > 0,
            paced: v.steps >= STEPS,
        };
        let before = v.state;
        v.state = next(before, seen);
        if v.state.is_out() && !before.is_out() {
            (v.held, v.heard, v.steps) = (HOLD, false, 0);
        }
        v.steps = if v.state == State::Serving {
            0
        } else {
            v.steps
        };
        v
    }
    /// Both look so often, with nothing else.
    fn settled(world: &World) -> World {
        let mut w = world.clone();
        for _ in 0..(LOSS + HOLD + STEPS + 3) {
            w.views = [Site::look(&w, 0), Site::look(&w, 1)];
        }
        w
    }
}

impl Model for Site {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        vec![World::default()]
    }
    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        acts.extend([Act::Look(0), Act::Look(1)]);
        if w.troubles < TROUBLES {
            acts.push(if w.down { Act::Up } else { Act::Down });
            acts.extend((0..2).map(|g| if w.cut[g] { Act::Heal(g) } else { Act::Cut(g) }));
        }
    }
    fn next_state(&self, w: &World, act: Act) -> Option<World> {
        let mut w = w.clone();
        match act {
            Act::Look(g) => w.views[g] = Site::look(&w, g),
            Act::Down | Act::Up => (w.down, w.troubles) = (act == Act::Down, w.troubles + 1),
            Act::Cut(g) => (w.cut[g], w.troubles) = (true, w.troubles + 1),
            Act::Heal(g) => (w.cut[g], w.troubles) = (false, w.troubles + 1),
        }
        Some(w)
    }
    fn properties(&self) -> Vec<Property<Site>> {
        vec![
            Property::always(
                "no gateway stays with a site that it does not hear",
                |_, w: &World| {
                    let s = Site::settled(w);
                    (0..2).all(|g| !(w.down || w.cut[g]) || s.views[g].state.is_out())
                },
            ),
            Property::always(
                "every gateway goes back to a site that answers it",
                |_, w: &World| {
                    let s = Site::settled(w);
                    (0..2).all(|g| w.down || w.cut[g] || s.views[g].state == State::Serving)
                },
            ),
            Property::always("no step skips the return", |_, w: &World| {
                (0..2).all(|g| {
                    let to = Site::look(w, g).state;
                    !(w.views[g].state.is_out() && matches!(to, State::Serving | State::Doubtful))
                })
            }),
            Property::always(
                "a return waits for an answer and the end of the hold-out",
                |_, w: &World| {
                    (0..2).all(|g| {
                        let (before, after) = (&w.views[g], Site::look(w, g));
                        let begins = before.state.is_out() && after.state == State::Returning;
                        !begins || after.heard && after.held == 0
                    })
                },
            ),
            Property::sometimes("a cut is told from a loss", |_, w: &World| {
                w.views[0].state == State::CutOff && w.views[1].state == State::Lost
            }),
            Property::sometimes(
                "a return is under way at one and done at the other",
                |_, w: &World| {
                    w.views[0].state == State::Returning
                        && w.views[1].state == State::Serving
                        && w.troubles > 1
                },
            ),
        ]
    }
}

#[test]
fn no_gateway_stays_with_a_lost_site_or_away_from_one_that_is_back() {
    let checker = Site.checker().spawn_bfs().join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 1_000,
        "{} states",
        checker.unique_state_count()
    );
}
