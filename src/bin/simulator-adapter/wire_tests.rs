//! Tests of the protocol: example frames as bytes, records cut at every length, and malformed input.

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

/// Every input record as bytes and as a value.
fn input_records() -> Vec<(Vec<u8>, InputRecord)> {
    let e = |target, rate: f32, launched| Entry {
        target,
        zone: 0,
        kind: 0,
        destination: 57,
        status: 3,
        rate,
        launched,
    };
    vec![
        (
            bytes("01 10000000 0300 0100000000000000 02000000 7b7d"),
            InputRecord::Start { instance: 3, seed: 1, settings: b"{}".to_vec() },
        ),
        (
            bytes("02 09000000 0300 02 29000000 0000"),
            InputRecord::List { instance: 3, kind: 2, version: 41, list: 0 },
        ),
        (
            bytes("03 28000000 0300 c4913a5d1f680000 0000 00006442 0100 0000 e02e0000 640ad2557c3bf091 da05840000000000"),
            InputRecord::Request {
                instance: 3,
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
            InputRecord::StreamStarted { instance: 3, id: 0x681f_5d3a_91c4, attempt: 0, target: 0x03124a07, took: 0x2422 },
        ),
        (
            bytes("05 23000000 0300 c4913a5d1f680000 00 074a1203 0100 44480000 01 00000000 02 cdcccc3e0000a03f"),
            InputRecord::Outcome {
                instance: 3,
                id: 0x681f_5d3a_91c4,
                attempt: 0,
                target: 0x03124a07,
                status: 1,
                took: 0x4844,
                ended: true,
                wait_ms: 0,
                report: vec![0.4, 1.25],
            },
        ),
        (bytes("06 0a000000 0300 192b6f0e6b3d0100"), InputRecord::Abandoned { instance: 3, id: 0x0001_3d6b_0e6f_2b19 }),
        (bytes("07 06000000 0300 4d000000"), InputRecord::Timer { instance: 3, token: 77 }),
        (
            bytes("08 15000000 0300 f211902c 0100 78050000 02 cdcccc3e0000a03f"),
            InputRecord::ProbeOutcome { instance: 3, target: 0x2c9011f2, status: 1, took: 1400, report: vec![0.4, 1.25] },
        ),
        (
            bytes("09 0c000000 0300 02000000 0400 68692037"),
            InputRecord::PeerMessage { instance: 3, from: 2, data: b"hi 7".to_vec() },
        ),
        (bytes("0a 02000000 0300"), InputRecord::Stop { instance: 3 }),
        (
            bytes(
                "0b 32000000 0000 02000000 074a1203 00 0000 3900 03 0000803f 0000000000000000
                 f211902c 00 0000 3900 03 0000c03f 20145d0000000000",
            ),
            InputRecord::DeclareList { list: 0, entries: vec![e(0x03124a07, 1.0, 0), e(0x2c9011f2, 1.5, 0x5d1420)] },
        ),
    ]
}

#[test]
fn every_input_record_is_parsed() {
    for (raw, value) in input_records() {
        assert_eq!(parse_batch(&frame(&[&raw])).unwrap().records, vec![value]);
    }
}

#[test]
fn truncated_or_extended_records_are_malformed() {
    for (raw, value) in input_records() {
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
fn a_stream_that_ends_inside_a_frame_is_malformed() {
    let whole = frame(&[&input_records()[4].0, &input_records()[5].0]);
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
fn the_example_reply_is_encoded() {
    let mut reply = Reply::new(12);
    let id = 0x681f_5d3a_91c4;
    reply.push(&OutputRecord::Send { instance: 3, id, until: 0x8194da, target: 0x03124a07 });
    reply.push(&OutputRecord::Timer { instance: 3, after: 500_000, token: 77 });
    reply.push(&OutputRecord::Log { instance: 5, text: "two servers unknown".into() });
    let expected = bytes(
        "0c000000 57000000 03000000
         41 16000000 0300 c4913a5d1f680000 da94810000000000 074a1203
         43 0a000000 0300 20a10700 4d000000
         46 17000000 0500 1300 74776f207365727665727320756e6b6e6f776e",
    );
    let mut expected = expected;
    let len = expected.len() as u32;
    expected[4..8].copy_from_slice(&len.to_le_bytes());
    assert_eq!(reply.finish(), expected);
}

#[test]
fn every_other_output_record_is_encoded() {
    let id = 0x0001_3d6b_0e6f_2b19;
    let cases = [
        (
            OutputRecord::PeerMessage { instance: 3, to: u32::MAX, data: b"hi 7".to_vec() },
            "42 0c000000 0300 ffffffff 0400 68692037",
        ),
        (OutputRecord::FetchList { instance: 3 }, "44 02000000 0300"),
        (
            OutputRecord::Refuse { instance: 3, id, retry_after: 250_000 },
            "45 0e000000 0300 192b6f0e6b3d0100 90d00300",
        ),
        (OutputRecord::Subscribe { instance: 3, on: true }, "47 03000000 0300 01"),
        (OutputRecord::CloseIdle { instance: 3, target: 0x2c9011f2 }, "48 06000000 0300 f211902c"),
        (
            OutputRecord::Cancel { instance: 3, id: 0x681f_5d3a_91c4, attempt: 0 },
            "49 0b000000 0300 c4913a5d1f680000 00",
        ),
        (OutputRecord::Fail { instance: 3, id }, "4a 0a000000 0300 192b6f0e6b3d0100"),
        (
            OutputRecord::Fault { instance: 3, message: "index out of range".into() },
            "4b 16000000 0300 1200 696e646578206f7574206f662072616e6765",
        ),
        (OutputRecord::Probe { instance: 3, target: 0x2c9011f2 }, "4c 06000000 0300 f211902c"),
    ];
    for (record, hex) in cases {
        let mut reply = Reply::new(1);
        reply.push(&record);
        assert_eq!(reply.finish()[12..], bytes(hex), "{record:?}");
    }
}
