//! Tests of the adapter's text protocol: the replies to valid batches, and the errors for invalid input.
use chalkdeck_simulator_adapter::Adapter;
use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = "START rng_seed=5 balancers=2 my_number=1 classes.count=1 classes.0.name=view \
    classes.0.deadline=3000000 classes.0.on_time=750000 classes.0.effect=pure plans.count=1 plans.0.name=p \
    plans.0.per_second=10.0 plans.0.peak_units=20.0 specifics.counter=true specifics.count_limit=80000 \
    bounds.max_attempts=3 unheard.of=7 zone=a zones=a,b";
const LIST: &str = "FLEET gen=1 scope=warm_copy items=1\n\
    ITEM backend=10.0.0.1:80 rack_zone=a model=m pod=0 status=in_service heft=1";

fn replies_to(text: &str) -> Result<Vec<String>, String> {
    let mut adapter = Adapter::default();
    let mut replies = Vec::new();
    for line in text.lines() {
        replies.extend(
            adapter
                .handle_line(line)
                .map_err(|error| error.to_string())?,
        );
    }
    adapter.finish().map_err(|error| error.to_string())?;
    Ok(replies)
}

fn replies_after_start(rest: &str) -> Result<Vec<String>, String> {
    replies_to(&format!(
        "TICK now=1000000\nFOR who=3\n{START}\n{LIST}\n{rest}"
    ))
}

const REQUEST: &str =
    "KNOCK ref=9 kind=view user_key=91f03b7c55d20a64 doors=2 plan=p drop_dead=3000000 price_units=2";

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(replies_to("TICK now=5\nFLUSH").unwrap(), ["EOR\n"]);
}

#[test]
fn a_request_is_routed_after_the_counter_reply() {
    let replies = replies_after_start(&format!("{REQUEST}\nFLUSH")).unwrap();
    let counter_call = replies[0]
        .lines()
        .find(|line| line.starts_with("ADD_AND_GET") && line.contains("amount=2"))
        .expect("the reply has a counter call");
    assert!(replies[0].starts_with("AS who=3\n") && replies[0].ends_with("EOR\n"));
    let book = counter_call
        .split(' ')
        .find(|field| field.starts_with("book="))
        .unwrap();
    let counter_reply = format!("COUNT_RESULT {book} how=200 result_value=2 took=900");
    let replies = replies_after_start(&format!(
        "{REQUEST}\nFLUSH\nTICK now=1002000\nFOR who=3\nSOMETHING_NEW a=1\n{counter_reply}\nFLUSH"
    ))
    .unwrap();
    assert!(
        replies[1].contains("ROUTE ref=9 backend=10.0.0.1:80 abandon_at="),
        "{}",
        replies[1]
    );
}

#[test]
fn a_removed_gateway_gets_no_reply() {
    let replies = replies_after_start(&format!("{REQUEST}\nDOWN\n{REQUEST}\nFLUSH")).unwrap();
    assert_eq!(replies, ["EOR\n"]);
}

#[test]
fn the_error_for_an_invalid_line_names_the_line_and_the_problem() {
    let cases = [
        ("KNOCK ref=x", "kind"),
        (
            "KNOCK ref=9 kind=view plan=p user_key=zz price_units=2",
            "user_key",
        ),
        ("KNOCK ref=9 kind=nope plan=p user_key=1", "a known class"),
        (
            "KNOCK ref=99999999999999999999999 kind=view plan=p user_key=1",
            "ref",
        ),
        (
            "KNOCK ref=9 kind=view plan=p user_key=1 price_units=-1",
            "price_units",
        ),
        ("OUTCOME ref=9 backend=10.0.0.1:80 how=777", "how"),
        ("RING", "ref"),
        ("RING ref", "name=value"),
        ("FLEET scope=odd items=0", "scope"),
        ("FLEET scope=total items=2\nFLUSH", "ITEM"),
        ("ITEM backend=b status=in_service", "FLEET"),
    ];
    for (line, expected_text) in cases {
        let error = replies_after_start(&format!("{line}\nFLUSH")).expect_err(line);
        assert!(
            error.starts_with("line ") && error.contains(expected_text),
            "{line}: {error}"
        );
        assert_eq!(error.lines().count(), 1);
    }
    assert!(replies_to("RING ref=1").is_err(), "outside a batch");
    assert!(
        replies_to("TICK now=5\nFLUSH\nTICK now=4\nFLUSH").is_err(),
        "the clock moves backwards"
    );
    assert!(replies_to("TICK now=5").is_err(), "the batch has no end");
    assert!(
        replies_to("TICK now=5\nRING ref=1\nFLUSH").is_err(),
        "an event for no gateway"
    );
    let invalid_start = START.replace("balancers=2", "balancers=0");
    assert!(replies_to(&format!("TICK now=1\nFOR who=1\n{invalid_start}\nFLUSH")).is_err());
}

#[test]
fn the_program_fails_with_one_line_on_standard_error() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_chalkdeck-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(b"TICK now=1\nFLUSH\nTICK now=abc\n")
        .expect("the program reads its input");
    let output = child.wait_with_output().expect("the program exits");
    assert!(!output.status.success());
    assert_eq!(output.stdout, b"EOR\n");
    let error = String::from_utf8(output.stderr).expect("the error is UTF-8");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(error.contains("line 3") && error.contains("now"));
}
