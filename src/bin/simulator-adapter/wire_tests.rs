//! The worked frames as bytes, every record at every shorter length, and what is malformed.

use super::*;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: String = hex.chars().filter(|c| !c.is_whitespace()).collect();
    (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap()).collect()
}

fn frame(records: &[&[u8]]) -> Vec<u8> {
    let mut body: Vec<u8> = records.concat();
    let mut out = 1u32.to_le_bytes().to_vec();
    out.extend((20 + body.len() as u32).to_le_bytes());
    out.extend(7u64.to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    out.append(&mut body);
    out
}

/// Each event as bytes beside its value.
fn events() -> Vec<(Vec<u8>, Input)> {
    let e = |target, size: f32, launched| Entry {
        target,
        zone: 0,
        kind: 0,
        destination: 57,
        status: 3,
        size,
        launched,
    };
    vec![
        (
            bytes("01 10000000 0300 0100000000000000 02000000 7b7d"),
            Input::Born { i: 3, salt: 1, env: b"{}".to_vec() },
        ),
        (
            bytes("02 09000000 0300 02 29000000 0000"),
            Input::Targets { i: 3, scope: 2, rev: 41, sheet: 0 },
        ),
        (
            bytes("03 28000000 0300 c4913a5d1f680000 0000 00006442 0100 0000 e02e0000 640ad2557c3bf091 da05840000000000"),
            Input::Query {
                i: 3,
                id: 0x681f_5d3a_91c4,
                class: 0,
                destination: 57.0,
                flags: 1,
                tenant: 0,
                hint: 12000,
                key: 0x91f0_3b7c_55d2_0a64,
                expires: 0x8405da,
            },
        ),
        (
            bytes("04 13000000 0300 c4913a5d1f680000 00 074a1203 22240000"),
            Input::Started { i: 3, id: 0x681f_5d3a_91c4, attempt: 0, target: 0x03124a07, took: 0x2422 },
        ),
        (
            bytes("05 23000000 0300 c4913a5d1f680000 00 074a1203 0100 44480000 01 00000000 02 cdcccc3e0000a03f"),
            Input::Resolved {
                i: 3,
                id: 0x681f_5d3a_91c4,
                attempt: 0,
                target: 0x03124a07,
                status: 1,
                took: 0x4844,
                ended: true,
                wait_ms: 0,
                feedback: vec![0.4, 1.25],
            },
        ),
        (bytes("06 0a000000 0300 192b6f0e6b3d0100"), Input::Lapsed { i: 3, id: 0x0001_3d6b_0e6f_2b19 }),
        (bytes("07 06000000 0300 4d000000"), Input::Wakeup { i: 3, cookie: 77 }),
        (
            bytes("08 15000000 0300 f211902c 0100 78050000 02 cdcccc3e0000a03f"),
            Input::Echo { i: 3, target: 0x2c9011f2, status: 1, took: 1400, feedback: vec![0.4, 1.25] },
        ),
        (
            bytes("09 0c000000 0300 02000000 0400 68692037"),
            Input::Peer { i: 3, who: 2, body: b"hi 7".to_vec() },
        ),
        (bytes("0a 02000000 0300"), Input::Down { i: 3 }),
        (
            bytes(
                "0b 32000000 0000 02000000 074a1203 00 0000 3900 03 0000803f 0000000000000000
                 f211902c 00 0000 3900 03 0000c03f 20145d0000000000",
            ),
            Input::Roster { sheet: 0, items: vec![e(0x03124a07, 1.0, 0), e(0x2c9011f2, 1.5, 0x5d1420)] },
        ),
    ]
}

#[test]
fn every_event_is_read() {
    for (raw, value) in events() {
        assert_eq!(parse_batch(&frame(&[&raw])).unwrap().records, vec![value]);
    }
}

#[test]
fn every_shorter_record_is_malformed() {
    for (raw, value) in events() {
        for cut in 5..raw.len() {
            let mut short = raw[..cut].to_vec();
            short[1..5].copy_from_slice(&((cut - 5) as u32).to_le_bytes());
            assert!(parse_batch(&frame(&[&short])).is_err(), "{value:?} cut to {cut}");
        }
        let mut long = raw.clone();
        long.push(0);
        long[1..5].copy_from_slice(&((raw.len() - 4) as u32).to_le_bytes());
        assert!(parse_batch(&frame(&[&long])).is_err(), "{value:?} with a byte too many");
    }
}

#[test]
fn a_stream_cut_at_any_length_is_malformed_but_between_frames() {
    let whole = frame(&[&events()[4].0, &events()[5].0]);
    for cut in 1..whole.len() {
        assert!(read_batch(&mut &whole[..cut]).is_err(), "cut to {cut}");
    }
    let mut rest = &whole[..];
    assert!(read_batch(&mut rest).unwrap().is_some());
    assert!(read_batch(&mut rest).unwrap().is_none());
}

#[test]
fn unknown_codes_and_wrong_lengths_are_malformed() {
    assert!(parse_batch(&frame(&[&bytes("0c 00000000")])).is_err());
    let mut wrong = frame(&[]);
    wrong[4] = 21;
    assert!(parse_batch(&wrong).is_err());
    wrong[4] = 3;
    assert!(read_batch(&mut &wrong[..]).is_err());
    let mut counted = frame(&[]);
    counted[16] = 1;
    assert!(parse_batch(&counted).is_err());
}

#[test]
fn the_worked_reply_is_written() {
    let mut reply = Reply::new(12);
    let id = 0x681f_5d3a_91c4;
    reply.push(&Output::Forward { i: 3, id, not_past: 0x8194da, target: 0x03124a07 });
    reply.push(&Output::After { i: 3, sleep_for: 500_000, cookie: 77 });
    reply.push(&Output::JournalLine { i: 5, message: "two servers unknown".into() });
    let wanted = bytes(
        "0c000000 57000000 03000000
         41 16000000 0300 c4913a5d1f680000 da94810000000000 074a1203
         43 0a000000 0300 20a10700 4d000000
         46 17000000 0500 1300 74776f207365727665727320756e6b6e6f776e",
    );
    let mut wanted = wanted;
    let len = wanted.len() as u32;
    wanted[4..8].copy_from_slice(&len.to_le_bytes());
    assert_eq!(reply.finish(), wanted);
}

#[test]
fn every_other_action_is_written() {
    let id = 0x0001_3d6b_0e6f_2b19;
    let cases = [
        (
            Output::Share { i: 3, peer: u32::MAX, body: b"hi 7".to_vec() },
            "42 0c000000 0300 ffffffff 0400 68692037",
        ),
        (Output::Lookup { i: 3 }, "44 02000000 0300"),
        (Output::Refuse { i: 3, id, cool_down: 250_000 }, "45 0e000000 0300 192b6f0e6b3d0100 90d00300"),
        (Output::KeepInformed { i: 3, enable: true }, "47 03000000 0300 01"),
        (Output::ShutIdle { i: 3, target: 0x2c9011f2 }, "48 06000000 0300 f211902c"),
        (Output::Revoke { i: 3, id: 0x681f_5d3a_91c4, attempt: 0 }, "49 0b000000 0300 c4913a5d1f680000 00"),
        (Output::Surrender { i: 3, id }, "4a 0a000000 0300 192b6f0e6b3d0100"),
        (
            Output::Fault { i: 3, message: "index out of range".into() },
            "4b 16000000 0300 1200 696e646578206f7574206f662072616e6765",
        ),
        (Output::Probe { i: 3, target: 0x2c9011f2 }, "4c 06000000 0300 f211902c"),
    ];
    for (record, hex) in cases {
        let mut reply = Reply::new(1);
        reply.push(&record);
        assert_eq!(reply.finish()[12..], bytes(hex), "{record:?}");
    }
}
