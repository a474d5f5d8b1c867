//! Sets against a plain reading of them, prefixes, hits under repeated and lost reports.

use chalkdeck_access::{
    Action, Call, Compiled, Held, Recent, RegionError, Regions, Rule, RuleSet, Seen, SetError,
    Stale, Told, Totals, Verdict,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn rule(id: &str, action: Action, callers: &[&str], routes: &[&str]) -> Rule {
    let texts = |v: &[&str]| v.iter().map(|t| t.to_string()).collect();
    Rule {
        id: id.into(),
        action,
        caller_regions: texts(callers),
        gateway_regions: Vec::new(),
        routes: texts(routes),
        classes: Vec::new(),
    }
}

fn set(version: u64, default: Action, stale: Stale, rules: Vec<Rule>) -> RuleSet {
    RuleSet {
        customer: "harvest-1".into(),
        version,
        default,
        stale,
        rules,
    }
}

fn call<'a>(caller: &'a str, path: &'a str) -> Call<'a> {
    Call {
        caller,
        gateway: "north",
        path,
        class: "view",
    }
}

const PATHS: [&str; 6] = [
    "/farm.v1.Farm/View",
    "/farm.v1.Farm/Vi",
    "/farm.v1.Farm/",
    "/farm.v1.Market/Sell",
    "/",
    "/x",
];
const ROUTES: [&str; 7] = [
    "/farm.v1.Farm/View",
    "/farm.v1.Farm/*",
    "/farm.v1.*",
    "/*",
    "/x",
    "/farm.v1.Farm/Vi*",
    "/farm.v1.Market/Sell",
];
const REGIONS: [&str; 4] = ["east", "west", "north", ""];

fn any_rule() -> impl Strategy<Value = Rule> {
    let some = |from: &'static [&'static str], most| {
        prop::collection::vec(prop::sample::select(from), 0..most)
    };
    (
        any::<bool>(),
        some(&REGIONS[..3], 3),
        some(&REGIONS[..3], 2),
        some(&ROUTES, 3),
        some(&["view", "sale"], 2),
    )
        .prop_map(|(allow, callers, gateways, routes, classes)| {
            let texts = |v: Vec<&str>| v.into_iter().map(String::from).collect();
            Rule {
                id: String::new(),
                action: if allow { Action::Allow } else { Action::Deny },
                caller_regions: texts(callers),
                gateway_regions: texts(gateways),
                routes: texts(routes),
                classes: texts(classes),
            }
        })
}

/// The rules read one after another, as they are written.
fn plainly(set: &RuleSet, call: &Call) -> (Action, Option<u32>) {
    let has =
        |values: &[String], value: &str| values.is_empty() || values.iter().any(|v| v == value);
    let on = |routes: &[String]| {
        let fits = |r: &String| {
            r.strip_suffix('*')
                .map_or(r == call.path, |b| call.path.starts_with(b))
        };
        routes.is_empty() || routes.iter().any(fits)
    };
    for (i, r) in set.rules.iter().enumerate() {
        if has(&r.caller_regions, call.caller)
            && has(&r.gateway_regions, call.gateway)
            && on(&r.routes)
            && has(&r.classes, call.class)
        {
            return (r.action, Some(i as u32));
        }
    }
    (set.default, None)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn a_compiled_set_says_what_its_text_says(rules in prop::collection::vec(any_rule(), 0..12), deny in any::<bool>()) {
        let rules = rules.into_iter().enumerate().map(|(i, r)| Rule { id: format!("r{i}"), ..r }).collect();
        let set = set(1, if deny { Action::Deny } else { Action::Allow }, Stale::Keep, rules);
        prop_assert_eq!(set.check(), Ok(()));
        let compiled = Compiled::new(set.clone());
        // Twice: the second time what is remembered answers.
        for _ in 0..2 {
            for (caller, gateway) in REGIONS.iter().flat_map(|c| REGIONS.iter().map(move |g| (*c, *g))) {
                for (path, class) in PATHS.iter().flat_map(|p| ["view", "sale"].map(|c| (*p, c))) {
                    let call = Call { caller, gateway, path, class };
                    let decision = compiled.decide(&call);
                    prop_assert_eq!((decision.action, decision.rule), plainly(&set, &call), "{:?}", call);
                }
            }
        }
    }

    #[test]
    fn the_longest_prefix_tells_the_region(nets in prop::collection::btree_map((any::<u32>(), 0u8..=32), 0usize..3, 0..40),
                                           addresses in prop::collection::vec(any::<u32>(), 20)) {
        let mut lines = BTreeMap::new();
        for ((bits, length), region) in nets {
            let mask = if length == 0 { 0 } else { u32::MAX << (32 - length) };
            lines.insert((bits & mask, length), region);
        }
        let line = |((bits, length), region): (&(u32, u8), &usize)| {
            format!("{}/{length} {}", std::net::Ipv4Addr::from(*bits), REGIONS[*region])
        };
        let text: Vec<String> = lines.iter().map(line).collect();
        let table = Regions::read(&text.join("\n")).expect("it is sound");
        for address in addresses.into_iter().chain(lines.keys().map(|(bits, _)| *bits)) {
            let holds = |((bits, length), _): &(&(u32, u8), &usize)| {
                *length == 0 || (address ^ bits) >> (32 - length) == 0
            };
            let best = lines.iter().filter(holds).max_by_key(|((_, length), _)| *length).map(|(_, r)| REGIONS[*r]);
            prop_assert_eq!(table.of(std::net::Ipv4Addr::from(address).into()), best);
        }
    }

    #[test]
    fn reports_in_any_order_and_number_count_once(hits in prop::collection::vec((0usize..3, 0usize..4), 1..200),
                                                 order in any::<u64>()) {
        // Three gateways, each of which reports after each hit; every report may come twice, late or not at all but the last.
        let mut held: Vec<Held> = (0..3).map(|_| Held::default()).collect();
        let rules: Vec<Rule> = ["a", "b", "c"].iter().map(|c| rule(c, Action::Allow, &[c], &[])).collect();
        held.iter_mut().for_each(|h| assert!(h.put(set(1, Action::Deny, Stale::Keep, rules.clone()))));
        let mut reports: Vec<(u64, Vec<Told>)> = Vec::new();
        let mut truth: BTreeMap<String, u64> = BTreeMap::new();
        for (gateway, which) in hits {
            let caller = ["a", "b", "c", "nowhere"][which];
            held[gateway].arrives("harvest-1", &call(caller, "/x"), true);
            *truth.entry(["a", "b", "c", "default"][which].into()).or_default() += 1;
            reports.push((gateway as u64, held[gateway].report(100)));
        }
        for (gateway, h) in held.iter_mut().enumerate() {
            h.hits().report_all();
            reports.push((gateway as u64, h.report(100)));
        }
        let last = reports.len() - 3;
        let mut rng = fastrand::Rng::with_seed(order);
        let mut some: Vec<_> = reports[..last].iter().flat_map(|r| vec![r; rng.usize(0..3)]).chain(&reports[last..]).collect();
        rng.shuffle(&mut some);
        let mut totals = Totals::default();
        for (incarnation, told) in some {
            told.iter().for_each(|t| totals.tell(*incarnation, t.version, &t.rule, t.count));
            // One is over in between; what comes of it after that is nobody's.
        }
        totals.fold(1);
        for (rule, count) in &truth {
            prop_assert_eq!(totals.count(1, rule), *count, "{}", rule);
        }
        prop_assert_eq!(totals.all().values().sum::<u64>(), truth.values().sum::<u64>());
    }
}

#[test]
fn without_a_session_a_set_keeps_or_denies_as_it_says() {
    let mut held = Held::default();
    assert!(held.put(set(
        1,
        Action::Allow,
        Stale::Keep,
        vec![rule("no-west", Action::Deny, &["west"], &[])]
    )));
    assert_eq!(
        held.arrives("harvest-1", &call("east", "/x"), false),
        Verdict::Goes
    );
    assert!(held.put(set(2, Action::Allow, Stale::Deny, Vec::new())));
    assert!(
        !held.put(set(2, Action::Deny, Stale::Keep, Vec::new())),
        "the same version again changes nothing"
    );
    assert_eq!(
        held.arrives("harvest-1", &call("east", "/x"), true),
        Verdict::Goes
    );
    let denied = Verdict::Denied {
        rule: "stale".into(),
        version: 2,
        stale: true,
    };
    assert_eq!(
        held.arrives("harvest-1", &call("east", "/x"), false),
        denied
    );
    assert_eq!(
        held.arrives("somebody", &call("east", "/x"), false),
        Verdict::Goes,
        "it has no set"
    );
    // The hits of the replaced set are told with those of the new one, until they are known to have come.
    let line = |version, rule: &str, count| Told {
        customer: "harvest-1".into(),
        version,
        rule: rule.into(),
        count,
    };
    let all = vec![
        line(1, "default", 1),
        line(2, "default", 1),
        line(2, "stale", 1),
    ];
    assert_eq!(held.report(10), all);
    held.hits().report_all();
    assert_eq!(held.report(10), all);
    held.hits().report_came();
    assert_eq!(held.report(10), []);
    held.remove("harvest-1");
    assert_eq!((held.rules(), held.get("harvest-1").is_none()), (0, true));
    assert_eq!(held.report(10), all[1..]);
}

#[test]
fn what_cannot_stand_in_a_set_is_named() {
    let wrong = |rules: Vec<Rule>| {
        set(1, Action::Allow, Stale::Keep, rules)
            .check()
            .expect_err("it is wrong")
    };
    let ok = rule("a", Action::Deny, &["west"], &["/x"]);
    assert!(matches!(
        wrong(vec![ok.clone(), ok.clone()]),
        SetError::Id { at: 1, .. }
    ));
    assert!(matches!(
        wrong(vec![rule("", Action::Deny, &[], &[])]),
        SetError::Id { at: 0, .. }
    ));
    for route in ["x", "/a*b", "/*/x", ""] {
        let error = wrong(vec![rule("a", Action::Deny, &[], &[route])]);
        assert!(
            matches!(
                error,
                SetError::Value {
                    field: "routes",
                    ..
                }
            ),
            "{route}: {error}"
        );
    }
    assert!(matches!(
        wrong(vec![rule("a", Action::Deny, &[""; 1], &[])]),
        SetError::Value { .. }
    ));
    assert!(matches!(
        wrong(vec![rule("a", Action::Deny, &["w"; 65], &[])]),
        SetError::Values { found: 65, .. }
    ));
    let many = (0..20_001)
        .map(|i| rule(&i.to_string(), Action::Deny, &[], &[]))
        .collect();
    assert_eq!(wrong(many), SetError::TooMany(20_001));
    for (text, want) in [
        (
            "10.0.0.0/8",
            RegionError::Prefix {
                line: 1,
                found: "10.0.0.0/8".into(),
            },
        ),
        (
            "# a remark\n10.0.0.0/8 east\n\n10.0.0.1/8 west",
            RegionError::Twice {
                line: 4,
                found: "10.0.0.0/8".into(),
            },
        ),
        (
            "here east",
            RegionError::Prefix {
                line: 1,
                found: "here east".into(),
            },
        ),
    ] {
        assert_eq!(Regions::read(text).map(|_| ()), Err(want));
    }
    let table = Regions::read("10.0.0.0/8 east\n10.1.0.0/16 west # nearer\n2001:db8::/32 north")
        .expect("it is sound");
    assert_eq!(
        table.of("10.1.2.3".parse().expect("an address")),
        Some("west")
    );
    assert_eq!(
        table.of("::ffff:10.2.2.3".parse().expect("an address")),
        Some("east")
    );
    assert_eq!(
        (
            table.of("2001:db8::1".parse().expect("an address")),
            table.of("11.0.0.1".parse().expect("an address"))
        ),
        (Some("north"), None)
    );
}

#[test]
fn a_set_that_would_lock_its_customer_out_is_seen_before_it_is_applied() {
    let mut recent = Recent::default();
    let seen = |caller: &str| Seen {
        caller: caller.into(),
        gateway: "north".into(),
        path: "/x".into(),
        class: "view".into(),
    };
    recent.came(seen("east"), 5);
    recent.next_span();
    recent.came(seen("west"), 2);
    let some = recent.try_set(&set(
        1,
        Action::Allow,
        Stale::Keep,
        vec![rule("no-west", Action::Deny, &["west"], &[])],
    ));
    assert_eq!((some.calls, some.denied, some.locks_out()), (7, 2, false));
    assert_eq!(
        some.by_rule,
        BTreeMap::from([("default".to_string(), 5), ("no-west".to_string(), 2)])
    );
    assert!(recent
        .try_set(&set(1, Action::Deny, Stale::Keep, Vec::new()))
        .locks_out());
    assert!(
        !Recent::default()
            .try_set(&set(1, Action::Deny, Stale::Keep, Vec::new()))
            .locks_out(),
        "nothing came"
    );
    (0..300).for_each(|i| recent.came(seen(&format!("r{i}")), 1));
    assert_eq!(recent.others, 45, "kinds are bounded");
}

#[test]
fn folded_counts_are_bounded_and_lose_nothing() {
    let mut totals = Totals::default();
    for version in 1..50 {
        for rule in 0..10 {
            totals.tell(version, version, &format!("r{rule}"), 3);
        }
        totals.fold(version);
        totals.bound(40);
    }
    assert!(totals.folded.len() <= 40, "{}", totals.folded.len());
    assert_eq!(totals.all().values().sum::<u64>(), 49 * 10 * 3);
    assert_eq!(
        totals.count(49, "r1"),
        3,
        "the newest stay by their version"
    );
    let mut names = Totals::default();
    for i in 0..500 {
        names.tell(1, i, &format!("rule-{i}"), 2);
    }
    names.fold(1);
    names.bound(5);
    assert_eq!(
        (names.folded.len() <= 5, names.all().values().sum::<u64>()),
        (true, 1_000)
    );
}

#[test]
fn two_hundred_thousand_rules_fit_and_no_more() {
    let mut held = Held::default();
    for customer in 0..100 {
        let rules = (0..2_000)
            .map(|i| {
                rule(
                    &format!("r{i}"),
                    Action::Deny,
                    &["west"],
                    &[&format!("/s{i}/*")],
                )
            })
            .collect();
        assert!(held.put(RuleSet {
            customer: format!("c{customer}"),
            version: 1,
            default: Action::Allow,
            stale: Stale::Keep,
            rules
        }));
    }
    assert_eq!(held.rules(), 200_000);
    let more = vec![rule("a", Action::Deny, &[], &[])];
    assert!(!held.put(RuleSet {
        customer: "more".into(),
        version: 1,
        default: Action::Allow,
        stale: Stale::Keep,
        rules: more
    }));
    assert_eq!(
        held.arrives("c7", &call("west", "/s1999/x"), true),
        Verdict::Denied {
            rule: "r1999".into(),
            version: 1,
            stale: false
        }
    );
    assert_eq!(
        held.arrives("c7", &call("east", "/s1999/x"), true),
        Verdict::Goes
    );
}
