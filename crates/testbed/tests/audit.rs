//! An audit of doctored logs: each rule's breach is found, and the log without it is sound.
use chalkdeck_testbed::audit::rules::{audit, Record};
use chalkdeck_testbed::common::event_log::{CallOutcome, Entry};
use chalkdeck_testbed::rig::demo;

const NONE: [u8; 0] = [];
const S: u64 = 1_000_000;
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
        deadline: t + S,
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

/// The rules that a log breaks.
fn broken(lines: Vec<Entry>) -> Vec<u8> {
    let day = demo::day().expect("the demo's day");
    let mut rules: Vec<u8> = audit(&Record { day, lines })
        .breaches
        .iter()
        .map(|b| b.rule)
        .collect();
    rules.dedup();
    rules
}

#[test]
fn a_sound_log_breaks_nothing() {
    let lines = vec![
        call(S, "a", SELL, "k"),
        arrive(S + 10, "a", "s1"),
        unprocessed(S + 20, "a", "s1"),
        arrive(S + 30, "a", "s2"),
        done(S + 40, "a", "k", "s2"),
        answer(S + 50, "a", CallOutcome::Served),
    ];
    assert_eq!(broken(lines), NONE);
}

#[test]
fn calls_without_their_one_answer() {
    assert_eq!(broken(vec![call(S, "a", VIEW, "")]), [1], "no answer");
    assert_eq!(
        broken(vec![
            call(S, "a", VIEW, ""),
            answer(3 * S, "a", CallOutcome::Served)
        ]),
        [1],
        "after the deadline"
    );
    assert_eq!(
        broken(vec![
            call(S, "a", VIEW, ""),
            answer(2 * S, "a", CallOutcome::Silent)
        ]),
        [1],
        "silence"
    );
    let twice = vec![
        call(S, "a", VIEW, ""),
        answer(S + 9, "a", CallOutcome::Served),
        answer(S + 10, "a", CallOutcome::Failed),
    ];
    assert_eq!(broken(twice), [1], "two answers");
    let after = vec![
        call(S, "a", VIEW, ""),
        answer(S + 9, "a", CallOutcome::Failed),
        arrive(S + 500_000, "a", "s1"),
    ];
    assert_eq!(broken(after), [1], "sent after its answer");
    let lost = || {
        vec![
            call(S, "a", VIEW, ""),
            answer(S + 9, "a", CallOutcome::Lost),
        ]
    };
    assert_eq!(broken(lost()), [1], "cut off");
    let mut killed = lost();
    killed.insert(1, note(S + 5, "gateway_killed", "0"));
    assert_eq!(broken(killed), NONE, "its gateway was killed");
}

#[test]
fn effects_that_may_have_happened_twice() {
    let twice = |key: &str, later: u64| {
        vec![
            call(S, "a", SELL, key),
            arrive(S + 10, "a", "s1"),
            arrive(S + 10 + later, "a", "s2"),
            answer(S + 20 + later, "a", CallOutcome::Served),
        ]
    };
    assert_eq!(broken(twice("", 10)), [2], "unsafe");
    assert_eq!(broken(twice("k", 10)), NONE, "keyed, inside its window");
    let mut late = twice("k", 4 * S);
    late[0] = Entry::Call {
        t: S,
        id: "a".into(),
        customer: "estate-0".into(),
        path: SELL.into(),
        key: "k".into(),
        units: 1.0,
        deadline: 9 * S,
        gateway: 0,
    };
    assert_eq!(broken(late), [2], "keyed, after its window");
    let refused = vec![
        call(S, "a", SELL, ""),
        arrive(S + 9, "a", "s1"),
        answer(S + 20, "a", CallOutcome::Refused),
    ];
    assert_eq!(broken(refused), [2], "refused though it may have run");
    let mut effects = twice("k", 10);
    effects.extend([done(S + 15, "a", "k", "s1"), done(S + 16, "a", "k", "s2")]);
    assert_eq!(broken(effects), [2], "one key, two effects");
}

#[test]
fn work_for_a_server_that_drains() {
    let at = |after: u64, more: Vec<Entry>| {
        let t = S + after;
        let mut lines = vec![note(S, "unlisted", "s1")];
        lines.extend(more);
        lines.extend([
            call(t, "a", VIEW, ""),
            arrive(t + 10, "a", "s1"),
            answer(t + 20, "a", CallOutcome::Served),
        ]);
        broken(lines)
    };
    assert_eq!(at(S, vec![]), NONE, "inside the grace");
    assert_eq!(at(4 * S, vec![]), [3]);
    assert_eq!(
        at(4 * S, vec![note(2 * S, "listed", "s1")]),
        NONE,
        "it is back"
    );
}

#[test]
fn work_for_a_site_that_is_held_out() {
    let zone = demo::day().expect("the demo's day").zones[0].name.clone();
    let lines = |late: u64, let_back: bool| {
        let back = let_back.then(|| note(4 * S, "site_let_back", &zone));
        let mut lines = vec![note(0, "server", "s1 0"), note(S, "site_held", &zone)];
        lines.extend(back);
        let at = S + late;
        lines.extend([
            call(at, "a", VIEW, ""),
            arrive(at + 10, "a", "s1"),
            answer(at + 50, "a", CallOutcome::Served),
        ]);
        lines
    };
    assert_eq!(broken(lines(S, false)), NONE, "within the grace");
    assert_eq!(broken(lines(4 * S, false)), [3]);
    assert_eq!(broken(lines(4 * S, true)), NONE, "let back");
}

#[test]
fn what_a_cut_held_up_may_arrive_after_the_answer() {
    let lines = |cut: bool| {
        let mut lines = vec![call(S, "a", VIEW, "")];
        lines.extend(cut.then(|| note(S + 10, "held_up", "from=north&cut=1")));
        lines.push(answer(S + S / 2, "a", CallOutcome::Refused));
        lines.extend(cut.then(|| note(3 * S, "let_through", "from=north&cut=0")));
        lines.push(arrive(3 * S + 10, "a", "s1"));
        lines
    };
    assert_eq!(broken(lines(true)), NONE);
    assert_eq!(broken(lines(false)), [1]);
}

#[test]
fn a_cold_server_that_fell() {
    assert_eq!(
        broken(vec![Entry::Fell {
            t: S,
            server: "s1".into()
        }]),
        [4]
    );
}

#[test]
fn a_ceiling_that_was_passed() {
    let sends = |count: u64| {
        let one = |i: u64| {
            let (t, id) = (S + i, format!("c{i}"));
            vec![
                call(t, &id, VIEW, ""),
                arrive(t, &id, "s1"),
                answer(t + 1, &id, CallOutcome::Served),
            ]
        };
        let mut lines: Vec<Entry> = (0..count).flat_map(one).collect();
        lines.sort_by_key(|l| serde_json::to_value(l).expect("a line")["t"].as_u64());
        broken(lines)
    };
    // The demo's estate plan holds 100 units, and 10 of slack.
    assert_eq!(sends(110), NONE);
    assert_eq!(sends(111), [5]);
}
