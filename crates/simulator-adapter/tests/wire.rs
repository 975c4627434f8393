//! Tests of the wire format: examples of encoded records and errors for malformed input.

use roseyard_simulator_adapter::codec::{decode, CodecError, Record, Reply};
use roseyard_simulator_adapter::serve;

fn hex(text: &str) -> Vec<u8> {
    let text: String = text.split_whitespace().collect();
    (0..text.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&text[i..i + 2], 16).unwrap())
        .collect()
}

fn run(input: &[u8]) -> (Vec<u8>, Result<(), String>) {
    let mut out = Vec::new();
    let result = serve(&mut &input[..], &mut out).map_err(|error| error.to_string());
    (out, result)
}

fn batch(clock: f64, records: &[u8]) -> Vec<u8> {
    let mut b = (records.len() as u32).to_le_bytes().to_vec();
    b.extend(clock.to_le_bytes());
    b.extend(records);
    b
}

fn create(i: u16, text: &str) -> Vec<u8> {
    let mut r = vec![9];
    r.extend(i.to_le_bytes());
    r.extend(7u64.to_le_bytes());
    r.extend((text.len() as u32).to_le_bytes());
    r.extend(text.as_bytes());
    r
}

const SETTINGS: &str = r#"{"Az":0,"Balancers":1,"Me":0,"Unknown":[1],"Ceilings":{"Cancel":true,"MaxAttempts":3,
"MaxRetryAfterMs":500.0,"MayDuplicate":true,"Probes":false,"RetryAfter":true},"Classes":[{"DeadlineMs":2000.0,
"Effect":"read_like","Group":"all","LateWorth":0.0,"Stream":false,"TargetMs":500.0,"WindowMs":0.0,"Worth":1.0}],
"Discovery":"automatic","Domain":{"CounterTimeoutMs":50.0,"MeteringMs":0.0,"SharedCounter":false},
"GranularityMs":2.0,"Guarantees":{"StartCapacity":0.3,"StopSendingWithinMs":500.0,"TipAfterMs":2000.0,
"TipMultiple":2.0,"WarmWithinMs":9000.0},"Report":{"Fields":["pending"],"Via":"inline"},"TiersOfService":[{
"BeyondCosts":1.0,"CapDepth":0.0,"CapSlack":0.0,"ExcessWorth":0.0,"MaxOut":0,"MostAtOnce":9.0,"NeverOverRate":0.0,
"Rate":3.0,"ValueFactor":1.0}]}"#;

/// An example of each event except `Create`, and an endpoint list.
const EXAMPLE_EVENTS: &str =
    "05 0300 c4913a5dbe150200 00000040 0000 0000803f 0000000000006e40 640ad2557c3bf091 00004040 0000 0100
         04 0300 4d000000 08 0500 192b6f0e8e7d0f00
         03 0300 c4913a5dbe150200 0000000000802240 0000 074a1203
         0a 0300 0200 0400 68692037 07 0300 f211902c 0000 666666666666f63f 02 52b81e3f00004040
         0b 0300 0c 0300 00001842 90f6890000000000 0000 3333333333330140
         02 0300 c4913a5dbe150200 5600 0000 0000000000803240 01 074a1203 0300 0000 02 52b81e3f00004040
         06 00000000 02000000 074a1203 00 00 0000 01 0000803f 0000000000000000
         f211902c 01 00 0000 01 0000c03f 0000000000d4b740 01 0300 02 2900000000000000 00000000";

#[test]
fn the_documented_events_decode() {
    let records = decode(&hex(EXAMPLE_EVENTS)).unwrap();
    assert_eq!(records.len(), 11);
    let Record::RequestReceived(request) = &records[0] else {
        panic!()
    };
    assert_eq!(
        (
            request.instance,
            request.units,
            request.time_left_ms,
            request.ingress_count,
            request.flags
        ),
        (3, 2.0, 240.0, 3.0, 1)
    );
    assert_eq!(
        records[1],
        Record::TimerExpired {
            instance: 3,
            tag: 77
        }
    );
    assert!(matches!(&records[4], Record::PeerMessage { bytes, .. } if bytes == b"hi 7"));
    assert!(
        matches!(&records[7], Record::CounterReply(reply) if reply.outcome_code == 0 && reply.total == 38.0)
    );
    let Record::AttemptEnded(attempt) = &records[8] else {
        panic!()
    };
    assert_eq!(
        (
            attempt.metered_usage,
            attempt.attempt,
            attempt.is_finished,
            attempt.true_units,
            attempt.load_report.len()
        ),
        (86, 0, true, 3, 2)
    );
    let Record::EndpointList { endpoints, .. } = &records[9] else {
        panic!()
    };
    assert_eq!(
        (endpoints[1].weight, endpoints[1].started_at_ms),
        (1.5, 6100.0)
    );
    assert_eq!(
        records[10],
        Record::EndpointListChanged {
            instance: 3,
            form: 2,
            revision: 41,
            list: 0
        }
    );
}

#[test]
fn the_documented_actions_encode() {
    let mut reply = Reply::default();
    let (req, other) = (
        u64::from_le_bytes(*b"\xc4\x91\x3a\x5d\xbe\x15\x02\0"),
        0x000f_7d8e_0e6f_2b19,
    );
    reply.forward(
        3,
        req,
        f64::from_le_bytes(*b"\0\0\0\0\x20\x96\xc0\x40"),
        0x0312_4a07,
    );
    reply.set_timer(3, 500.0, 77);
    reply.log(5, "two servers known");
    reply.close_idle_connections(3, 0x2c90_11f2);
    reply.subscribe(3, true);
    reply.send_to_peer(3, u32::MAX, b"hi 7");
    reply.cancel_attempt(3, req, 0);
    reply.report_crash(3, "index out of range");
    reply.fail(3, other);
    reply.check_health(3, 0x2c90_11f2);
    reply.increment_counter(3, 4.0, 3000.0, 0x0089_f690);
    reply.reject(3, other, 250.0);
    reply.fetch_endpoint_list(3);
    let expected = hex(
        "01 0300 c4913a5dbe150200 000000002096c040 074a1203 05 0300 0000000000407f40 4d000000
         09 0500 1100 74776f2073657276657273206b6e6f776e 07 0300 f211902c 0b 0300 01
         08 0300 ffffffff 0400 68692037 04 0300 c4913a5dbe150200 0000
         0a 0300 1200 696e646578206f7574206f662072616e6765 03 0300 192b6f0e8e7d0f00 06 0300 f211902c
         0d 0300 00008040 000000000070a740 90f6890000000000 02 0300 192b6f0e8e7d0f00 0000000000406f40 0c 0300",
    );
    let frame = reply.frame();
    assert_eq!(
        &frame[..8],
        &[13u32.to_le_bytes(), (expected.len() as u32).to_le_bytes()].concat()[..]
    );
    assert_eq!(&frame[8..], &expected[..]);
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_not_an_error() {
    let (out, result) = run(&hex("00000000 00000000206ec040"));
    assert_eq!((out, result), (vec![0; 8], Ok(())));
}

#[test]
fn a_request_is_forwarded_to_a_listed_endpoint_and_a_restarted_instance_has_no_endpoints() {
    let list = hex(
        "06 00000000 01000000 07000000 00 00 0000 01 0000803f 0000000000000000
         01 0300 02 2900000000000000 00000000",
    );
    let item = hex("05 0300 c4913a5dbe150200 0000803f 0000 0000803f 0000000000409f40 640ad2557c3b0000 0000803f 0000 0000");
    let records = [create(3, SETTINGS), list, item.clone()].concat();
    let (out, result) = run(&batch(1000.0, &records));
    assert_eq!(result, Ok(()));
    assert!(
        out.windows(4).any(|w| w == [7, 0, 0, 0]),
        "forwarded to endpoint 7"
    );
    let again = [records, hex("0b 0300"), create(3, SETTINGS), item].concat();
    let (out, result) = run(&batch(1000.0, &again));
    assert_eq!(result, Ok(()));
    assert!(
        out.len() > 40,
        "the new instance, which has no endpoints, rejects the request"
    );
}

#[test]
fn malformed_input_causes_an_error_that_names_it_and_no_panic() {
    let error_of = |records: &[u8]| run(&batch(1.0, records)).1.unwrap_err();
    assert!(error_of(&hex("63")).contains("unknown event code 99"));
    assert!(error_of(&hex("04 0300 4d")).contains("record 0 (code 4): truncated"));
    assert!(error_of(&hex("06 00000000 ffffffff")).contains("truncated"));
    assert!(error_of(&create(1, "{}")).contains("missing field"));
    assert!(error_of(&create(
        1,
        &SETTINGS.replace("\"TargetMs\":500.0", "\"TargetMs\":-5.0")
    ))
    .contains("TargetMs"));
    assert!(error_of(&create(1, &SETTINGS.replace("read_like", "odd"))).contains("Effect"));
    assert!(error_of(&hex("01 0300 02 2900000000000000 05000000")).contains("no list numbered 5"));
    assert!(run(&hex("ffffff7f 0000000000000000 01"))
        .1
        .unwrap_err()
        .contains("truncated after 1 of"));
    assert!(run(&hex("0000")).1.unwrap_err().contains("batch header"));
    assert!(run(&hex("00000000 000000000000f87f"))
        .1
        .unwrap_err()
        .contains("clock"));
    assert_eq!(
        decode(&[1]),
        Err(CodecError::Truncated {
            record: 0,
            code: 1,
            at: 1
        })
    );
}
