//! Tests of the audit with fabricated logs: it detects a breach of each rule, and reports none for a similar log without the
//! breach.
use chalkdeck_testbed::audit::rules::{audit, Record};
use chalkdeck_testbed::common::event_log::{CallOutcome, Entry};
use chalkdeck_testbed::rig::demo;

const NO_BREACH: [u8; 0] = [];
const SECOND_US: u64 = 1_000_000;
const SELL: &str = "/farm.v1.Farm/Sell";
const VIEW: &str = "/farm.v1.Farm/View";

fn call(t: u64, id: &str, path: &str, key: &str) -> Entry {
    let (id, path, key) = (id.into(), path.into(), key.into());
    Entry::Call {
        t,
        id,
        customer: "estate-0".into(),
        path,
        key,
        units: 1.0,
        deadline: t + SECOND_US,
        gateway: 0,
    }
}
fn answer(t: u64, id: &str, end: CallOutcome) -> Entry {
    Entry::Answer {
        t,
        id: id.into(),
        end,
        status: 0,
        pushback: None,
    }
}
fn arrive(t: u64, id: &str, server: &str) -> Entry {
    let (id, server) = (id.into(), server.into());
    Entry::Arrive {
        t,
        server,
        id,
        customer: "estate-0".into(),
        path: SELL.into(),
        key: String::new(),
        units: 1.0,
    }
}
fn unprocessed(t: u64, id: &str, server: &str) -> Entry {
    Entry::Reply {
        t,
        server: server.into(),
        id: id.into(),
        status: 14,
        unprocessed: true,
    }
}
fn done(t: u64, id: &str, key: &str, server: &str) -> Entry {
    Entry::Done {
        t,
        server: server.into(),
        id: id.into(),
        key: key.into(),
        effect: true,
    }
}
fn note(t: u64, what: &str, target: &str) -> Entry {
    Entry::Note {
        t,
        what: what.into(),
        target: target.into(),
    }
}

/// The rules that the audit reports as breached.
fn breached_rules(events: Vec<Entry>) -> Vec<u8> {
    let day = demo::day().expect("the demo's day");
    let mut rules: Vec<u8> = audit(&Record { day, events })
        .breaches
        .iter()
        .map(|b| b.rule)
        .collect();
    rules.dedup();
    rules
}

#[test]
fn correct_run_breaks_no_rule() {
    let events = vec![
        call(SECOND_US, "a", SELL, "k"),
        arrive(SECOND_US + 10, "a", "s1"),
        unprocessed(SECOND_US + 20, "a", "s1"),
        arrive(SECOND_US + 30, "a", "s2"),
        done(SECOND_US + 40, "a", "k", "s2"),
        answer(SECOND_US + 50, "a", CallOutcome::Served),
    ];
    assert_eq!(breached_rules(events), NO_BREACH);
}

#[test]
fn call_without_exactly_one_timely_answer_breaks_rule_1() {
    assert_eq!(
        breached_rules(vec![call(SECOND_US, "a", VIEW, "")]),
        [1],
        "no answer"
    );
    assert_eq!(
        breached_rules(vec![
            call(SECOND_US, "a", VIEW, ""),
            answer(3 * SECOND_US, "a", CallOutcome::Served)
        ]),
        [1],
        "after the deadline"
    );
    assert_eq!(
        breached_rules(vec![
            call(SECOND_US, "a", VIEW, ""),
            answer(2 * SECOND_US, "a", CallOutcome::Silent)
        ]),
        [1],
        "silence"
    );
    let twice = vec![
        call(SECOND_US, "a", VIEW, ""),
        answer(SECOND_US + 9, "a", CallOutcome::Served),
        answer(SECOND_US + 10, "a", CallOutcome::Failed),
    ];
    assert_eq!(breached_rules(twice), [1], "two answers");
    let sent_after = vec![
        call(SECOND_US, "a", VIEW, ""),
        answer(SECOND_US + 9, "a", CallOutcome::Failed),
        arrive(SECOND_US + 500_000, "a", "s1"),
    ];
    assert_eq!(breached_rules(sent_after), [1], "sent after its answer");
    let lost = || {
        vec![
            call(SECOND_US, "a", VIEW, ""),
            answer(SECOND_US + 9, "a", CallOutcome::Lost),
        ]
    };
    assert_eq!(breached_rules(lost()), [1], "cut off");
    let mut with_kill = lost();
    with_kill.insert(1, note(SECOND_US + 5, "gateway_killed", "0"));
    assert_eq!(
        breached_rules(with_kill),
        NO_BREACH,
        "its gateway was killed"
    );
}

#[test]
fn possible_second_effect_breaks_rule_2() {
    let twice = |key: &str, interval_us: u64| {
        vec![
            call(SECOND_US, "a", SELL, key),
            arrive(SECOND_US + 10, "a", "s1"),
            arrive(SECOND_US + 10 + interval_us, "a", "s2"),
            answer(SECOND_US + 20 + interval_us, "a", CallOutcome::Served),
        ]
    };
    assert_eq!(breached_rules(twice("", 10)), [2], "unsafe");
    assert_eq!(
        breached_rules(twice("k", 10)),
        NO_BREACH,
        "keyed, inside its window"
    );
    let mut late = twice("k", 4 * SECOND_US);
    late[0] = Entry::Call {
        t: SECOND_US,
        id: "a".into(),
        customer: "estate-0".into(),
        path: SELL.into(),
        key: "k".into(),
        units: 1.0,
        deadline: 9 * SECOND_US,
        gateway: 0,
    };
    assert_eq!(breached_rules(late), [2], "keyed, after its window");
    let refused = vec![
        call(SECOND_US, "a", SELL, ""),
        arrive(SECOND_US + 9, "a", "s1"),
        answer(SECOND_US + 20, "a", CallOutcome::Refused),
    ];
    assert_eq!(
        breached_rules(refused),
        [2],
        "refused though it may have run"
    );
    let mut effects = twice("k", 10);
    effects.extend([
        done(SECOND_US + 15, "a", "k", "s1"),
        done(SECOND_US + 16, "a", "k", "s2"),
    ]);
    assert_eq!(breached_rules(effects), [2], "one key, two effects");
}

#[test]
fn call_to_a_draining_server_after_the_grace_breaks_rule_3() {
    let breached_with = |delay_us: u64, more: Vec<Entry>| {
        let t = SECOND_US + delay_us;
        let mut events = vec![note(SECOND_US, "unlisted", "s1")];
        events.extend(more);
        events.extend([
            call(t, "a", VIEW, ""),
            arrive(t + 10, "a", "s1"),
            answer(t + 20, "a", CallOutcome::Served),
        ]);
        breached_rules(events)
    };
    assert_eq!(
        breached_with(SECOND_US, vec![]),
        NO_BREACH,
        "inside the grace"
    );
    assert_eq!(breached_with(4 * SECOND_US, vec![]), [3]);
    assert_eq!(
        breached_with(4 * SECOND_US, vec![note(2 * SECOND_US, "listed", "s1")]),
        NO_BREACH,
        "it is back"
    );
}

#[test]
fn call_to_a_held_out_site_after_the_grace_breaks_rule_3() {
    let zone = demo::day().expect("the demo's day").zones[0].name.clone();
    let events = |delay_us: u64, is_let_back: bool| {
        let back = is_let_back.then(|| note(4 * SECOND_US, "site_let_back", &zone));
        let mut events = vec![
            note(0, "server", "s1 0"),
            note(SECOND_US, "site_held", &zone),
        ];
        events.extend(back);
        let t = SECOND_US + delay_us;
        events.extend([
            call(t, "a", VIEW, ""),
            arrive(t + 10, "a", "s1"),
            answer(t + 50, "a", CallOutcome::Served),
        ]);
        events
    };
    assert_eq!(
        breached_rules(events(SECOND_US, false)),
        NO_BREACH,
        "within the grace"
    );
    assert_eq!(breached_rules(events(4 * SECOND_US, false)), [3]);
    assert_eq!(
        breached_rules(events(4 * SECOND_US, true)),
        NO_BREACH,
        "let back"
    );
}

#[test]
fn attempt_delayed_by_a_cut_link_may_arrive_after_the_answer() {
    let events = |is_cut: bool| {
        let mut events = vec![call(SECOND_US, "a", VIEW, "")];
        events.extend(is_cut.then(|| note(SECOND_US + 10, "held_up", "from=north&cut=1")));
        events.push(answer(SECOND_US + SECOND_US / 2, "a", CallOutcome::Refused));
        events.extend(is_cut.then(|| note(3 * SECOND_US, "let_through", "from=north&cut=0")));
        events.push(arrive(3 * SECOND_US + 10, "a", "s1"));
        events
    };
    assert_eq!(breached_rules(events(true)), NO_BREACH);
    assert_eq!(breached_rules(events(false)), [1]);
}

#[test]
fn collapse_of_a_server_in_warm_up_breaks_rule_4() {
    assert_eq!(
        breached_rules(vec![Entry::Fell {
            t: SECOND_US,
            server: "s1".into()
        }]),
        [4]
    );
}

#[test]
fn exceeded_ceiling_breaks_rule_5() {
    let breached_by_calls = |count: u64| {
        let events_of = |i: u64| {
            let (t, id) = (SECOND_US + i, format!("c{i}"));
            vec![
                call(t, &id, VIEW, ""),
                arrive(t, &id, "s1"),
                answer(t + 1, &id, CallOutcome::Served),
            ]
        };
        let mut events: Vec<Entry> = (0..count).flat_map(events_of).collect();
        events.sort_by_key(|l| serde_json::to_value(l).expect("a line")["t"].as_u64());
        breached_rules(events)
    };
    // The ceiling of the demo's estate plan allows a burst of 100 units and 10 units of slack.
    assert_eq!(breached_by_calls(110), NO_BREACH);
    assert_eq!(breached_by_calls(111), [5]);
}
