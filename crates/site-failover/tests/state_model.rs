//! Model checking of the state transitions with two gateways and one site, over every order of losses, partitions, repairs and
//! updates: no gateway keeps using a lost site, and every gateway uses a recovered site again. The model runs the production
//! transitions and counts time in updates.

use chalkdeck_site_failover::state::{next_state, Observations};
use chalkdeck_site_failover::SiteState;
use stateright::{Checker, Model, Property};

/// Updates without a response after which a site is doubtful.
const DOUBTFUL_AFTER_UPDATES: u8 = 1;
/// Updates without a response after which a site is lost.
const LOST_AFTER_UPDATES: u8 = 2;
/// Updates that a backoff lasts.
const BACKOFF_UPDATES: u8 = 2;
/// Steps of a recovery ramp.
const RAMP_STEPS: u8 = 2;
/// Maximum number of losses, recoveries, partitions and repairs in one run of the model.
const MAX_FAULTS: u8 = 5;

/// One gateway's view of the site.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct GatewayView {
    state: SiteState,
    silent_updates: u8,
    backoff: u8,
    has_responded: bool,
    ramp_steps: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct World {
    is_site_down: bool,
    is_partitioned: [bool; 2],
    views: [GatewayView; 2],
    faults: u8,
}

impl World {
    fn is_reachable_from(&self, gateway: usize) -> bool {
        !self.is_site_down && !self.is_partitioned[gateway]
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    SiteFails,
    SiteRecovers,
    Partition(usize),
    Repair(usize),
    Update(usize),
}

struct SiteModel;

impl SiteModel {
    /// One update: the gateway sends to the site as far as its state allows, gets an answer or none, and updates its state.
    fn update(world: &World, gateway: usize) -> GatewayView {
        let mut view = world.views[gateway].clone();
        let answers = world.is_reachable_from(gateway);
        view.silent_updates = if answers {
            0
        } else {
            (view.silent_updates + 1).min(LOST_AFTER_UPDATES)
        };
        view.has_responded |= answers && view.state.is_out_of_service();
        view.backoff = view.backoff.saturating_sub(1);
        let earns_step = answers && view.state == SiteState::Returning;
        view.ramp_steps = (view.ramp_steps + u8::from(earns_step)).min(RAMP_STEPS);
        let observed = Observations {
            is_unresponsive: view.silent_updates >= LOST_AFTER_UPDATES,
            is_doubtful: view.silent_updates >= DOUBTFUL_AFTER_UPDATES,
            is_partitioned: world.is_partitioned[gateway],
            is_backoff_over: view.backoff == 0,
            has_responded: view.has_responded,
            is_ramping: view.ramp_steps > 0,
            is_ramp_complete: view.ramp_steps >= RAMP_STEPS,
        };
        let before = view.state;
        view.state = next_state(before, observed);
        if view.state.is_out_of_service() && !before.is_out_of_service() {
            view.backoff = BACKOFF_UPDATES;
            view.has_responded = false;
            view.ramp_steps = 0;
        }
        if view.state == SiteState::Serving {
            view.ramp_steps = 0;
        }
        view
    }

    /// The world after enough updates of both gateways for their states to settle, without further faults.
    fn settled(world: &World) -> World {
        let mut settled = world.clone();
        for _ in 0..(LOST_AFTER_UPDATES + BACKOFF_UPDATES + RAMP_STEPS + 3) {
            settled.views = [
                SiteModel::update(&settled, 0),
                SiteModel::update(&settled, 1),
            ];
        }
        settled
    }
}

impl Model for SiteModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::default()]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        steps.extend([Step::Update(0), Step::Update(1)]);
        if world.faults >= MAX_FAULTS {
            return;
        }
        steps.push(if world.is_site_down {
            Step::SiteRecovers
        } else {
            Step::SiteFails
        });
        for gateway in 0..2 {
            steps.push(if world.is_partitioned[gateway] {
                Step::Repair(gateway)
            } else {
                Step::Partition(gateway)
            });
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        if !matches!(step, Step::Update(_)) {
            next.faults += 1;
        }
        match step {
            Step::Update(gateway) => next.views[gateway] = SiteModel::update(world, gateway),
            Step::SiteFails => next.is_site_down = true,
            Step::SiteRecovers => next.is_site_down = false,
            Step::Partition(gateway) => next.is_partitioned[gateway] = true,
            Step::Repair(gateway) => next.is_partitioned[gateway] = false,
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<SiteModel>> {
        vec![
            Property::always(
                "no gateway keeps using a site that does not answer it",
                |_, world: &World| {
                    let settled = SiteModel::settled(world);
                    (0..2).all(|gateway| {
                        world.is_reachable_from(gateway)
                            || settled.views[gateway].state.is_out_of_service()
                    })
                },
            ),
            Property::always(
                "every gateway uses a site that answers it again",
                |_, world: &World| {
                    let settled = SiteModel::settled(world);
                    (0..2).all(|gateway| {
                        !world.is_reachable_from(gateway)
                            || settled.views[gateway].state == SiteState::Serving
                    })
                },
            ),
            Property::always("no update skips the recovery", |_, world: &World| {
                (0..2).all(|gateway| {
                    let before = world.views[gateway].state;
                    let after = SiteModel::update(world, gateway).state;
                    let skips_recovery = matches!(after, SiteState::Serving | SiteState::Doubtful);
                    !(before.is_out_of_service() && skips_recovery)
                })
            }),
            Property::always(
                "a recovery starts only after an answer and the end of the backoff",
                |_, world: &World| {
                    (0..2).all(|gateway| {
                        let before = &world.views[gateway];
                        let after = SiteModel::update(world, gateway);
                        let starts =
                            before.state.is_out_of_service() && after.state == SiteState::Returning;
                        !starts || after.has_responded && after.backoff == 0
                    })
                },
            ),
            Property::sometimes(
                "one gateway detects a partition and the other one a loss",
                |_, world: &World| {
                    world.views[0].state == SiteState::CutOff
                        && world.views[1].state == SiteState::Lost
                },
            ),
            Property::sometimes(
                "a recovery is in progress at one gateway and over at the other",
                |_, world: &World| {
                    world.views[0].state == SiteState::Returning
                        && world.views[1].state == SiteState::Serving
                        && world.faults > 1
                },
            ),
        ]
    }
}

#[test]
fn no_gateway_keeps_using_a_lost_site_or_avoids_a_recovered_one() {
    let checker = SiteModel.checker().spawn_bfs().join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 1_000,
        "{} states",
        checker.unique_state_count()
    );
}
