//! Compatibility of stored data and frames with the version in production. This version
//! must read what that one stores and sends, and write the same bytes, because both run side
//! by side and on each other's data. The fixtures were written by that version's own code.

mod support;

use std::collections::BTreeMap;

use bitternfold::core::storage::record::{self, FinalRecord, JobRecord, LeaderRecord};
use bitternfold::core::storage::wal::{LogEntry, LogReplay, WriteAheadLog};
use bitternfold::peer::{encode, read_frame, Frame};
use bitternfold::wire::{JobId, JobState, MachineType};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};
use support::*;

const JOB_RECORDS: &str = include_str!("fixtures/production/job_records.jsonl");
const FINAL_RECORDS: &str = include_str!("fixtures/production/final_records.jsonl");
const LEADER_RECORD: &str = include_str!("fixtures/production/leader_record.json");
const RATIOS: &str = include_str!("fixtures/production/ratios.json");
const TYPES: &str = include_str!("fixtures/production/machine_types.json");
const SEGMENT: &str = include_str!("fixtures/production/log_segment.json");
const LARGE_SEGMENTS: &str = include_str!("fixtures/production/log_segments_of_8_kib.jsonl");
const KEYS: &str = include_str!("fixtures/production/keys.txt");
const FRAMES: &str = include_str!("fixtures/production/frames.hex");

/// Parses a value, and checks that serializing it gives exactly the same text.
fn check_round_trip<T: DeserializeOwned + Serialize>(text: &str) -> T {
    let value: T = serde_json::from_str(text).expect("readable");
    let written = serde_json::to_string(&value).expect("writable");
    assert_eq!(written, text.trim_end());
    value
}

#[test]
fn records_of_production_are_read_and_written_unchanged() {
    let jobs: Vec<JobRecord> = JOB_RECORDS.lines().map(check_round_trip).collect();
    assert_eq!(
        jobs.iter().map(|r| r.cancelled).collect::<Vec<_>>(),
        [false, true]
    );
    assert!(jobs.iter().all(|r| r.spec.awaits.is_empty()));
    let finals: Vec<FinalRecord> = FINAL_RECORDS.lines().map(check_round_trip).collect();
    let states: Vec<JobState> = finals.iter().map(|r| r.state).collect();
    assert_eq!(states, [JobState::Done, JobState::Cancelled]);
    check_round_trip::<LeaderRecord>(LEADER_RECORD);
    check_round_trip::<BTreeMap<String, f64>>(RATIOS);
    check_round_trip::<Vec<MachineType>>(TYPES);
}

#[test]
fn records_differ_from_production_only_by_additional_fields() {
    // The production version ignores fields that it doesn't know, so a new version may add
    // fields to records but must not change anything else.
    let without = |mut value: Value, path: &str, name: &str| {
        let object = value.pointer_mut(path).and_then(Value::as_object_mut);
        object.expect("an object").remove(name).expect("the new field");
        value
    };
    let old: JobRecord = serde_json::from_str(JOB_RECORDS.lines().next().expect("a line")).expect("readable");
    let mut new = old.clone();
    new.spec.awaits = vec!["job-000398".parse().expect("an id")];
    let written = serde_json::to_value(&new).expect("json");
    assert_eq!(written["spec"]["awaits"], json!(["job-000398"]));
    assert_eq!(
        without(written, "/spec", "awaits"),
        serde_json::to_value(&old).expect("json")
    );
    let ended = FinalRecord {
        state: JobState::Done,
        done: 7,
        ended_at: Some(1_764_600_000_123),
    };
    let written = serde_json::to_value(&ended).expect("json");
    let old: Value = serde_json::from_str(FINAL_RECORDS.lines().next().expect("a line")).expect("json");
    assert_eq!(without(written, "", "ended_at"), old);
}

#[test]
fn keys_are_the_same_as_in_production() {
    let job: JobId = "job-000412".parse().expect("an id");
    let keys = [
        record::LEADER_KEY.to_owned(),
        record::job_key(job),
        record::final_key(job),
        record::inbox_key(job),
        record::segment_key(3),
        record::RATIOS_KEY.to_owned(),
        record::MACHINE_TYPES_KEY.to_owned(),
    ];
    assert_eq!(KEYS.lines().collect::<Vec<_>>(), keys);
}

#[test]
fn log_segments_of_production_are_read_and_written_unchanged() {
    check_round_trip::<Vec<LogEntry>>(SEGMENT);
    let mut log = WriteAheadLog::new(4096);
    assert!(log.load_segment(1, serde_json::from_str(SEGMENT).expect("json")));
    let replay = log.replay();
    let job: JobId = "job-000412".parse().expect("an id");
    assert_eq!(replay.machines.len(), 1);
    assert_eq!(replay.starts["i-000231"].len(), 3);
    assert_eq!(replay.done[&job].len(), 2);
    assert!(replay.released_machines.contains("i-000007"));
}

/// A write-ahead log that has loaded the large segments of the fixture, and these segments
/// by number.
fn load_large_segments(value_bytes: usize) -> (WriteAheadLog, BTreeMap<u64, Value>) {
    let mut log = WriteAheadLog::new(value_bytes);
    let mut stored = BTreeMap::new();
    for (number, line) in (1..).zip(LARGE_SEGMENTS.lines()) {
        let value: Value = serde_json::from_str(line).expect("json");
        stored.insert(number, value.clone());
        assert!(log.load_segment(number, value));
    }
    (log, stored)
}

/// The replay of these stored segments.
fn replay_of(stored: &BTreeMap<u64, Value>) -> LogReplay {
    let mut log = WriteAheadLog::new(4096);
    for (number, value) in stored {
        assert!(log.load_segment(*number, value.clone()));
    }
    log.replay()
}

#[test]
fn segments_larger_than_lowered_limits_are_rewritten_within_them() {
    // The limits on values and transactions may be lowered. A compaction that moved a whole
    // segment at once would then exceed them.
    const MAX_VALUE_BYTES: usize = 2048;
    for max_changes in [2, 4, 5] {
        let (mut log, mut stored) = load_large_segments(MAX_VALUE_BYTES);
        let before = replay_of(&stored);
        let largest = stored.values().map(|v| v.to_string().len()).max();
        assert!(
            largest > Some(7 * 1024),
            "the fixture must be as large as production writes it"
        );
        let mut appends = 0;
        // Each round appends further entries, so that the log becomes long enough to be
        // compacted.
        while stored.contains_key(&1) || stored.contains_key(&2) {
            appends += 1;
            assert!(
                appends < 500,
                "the segments are never rewritten with {max_changes} changes per transaction"
            );
            for _ in 0..40 {
                log.push(LogEntry::Released(format!("i-9{appends:05}").as_str().into()));
            }
            let live = |e: &LogEntry| (!matches!(e, LogEntry::Released(_))).then(|| e.clone());
            let append = log
                .take_append(max_changes, 0, live)
                .expect("entries are pending");
            assert!(
                append.segments.len() <= max_changes,
                "{} changes",
                append.segments.len()
            );
            for (number, value) in &append.segments {
                match value {
                    Some(value) => {
                        assert!(value.to_string().len() <= MAX_VALUE_BYTES, "a value is too large");
                        stored.insert(*number, value.clone());
                    }
                    None => drop(stored.remove(number)),
                }
            }
            log.append_stored(&append);
            let now = replay_of(&stored);
            assert_eq!(
                (now.starts, now.done),
                (before.starts.clone(), before.done.clone())
            );
        }
    }
}

#[test]
fn a_log_entry_of_unknown_kind_is_kept_and_a_malformed_entry_is_refused() {
    let mut entries: Vec<Value> = serde_json::from_str(SEGMENT).expect("json");
    entries.insert(1, json!({ "later": ["i-000231", 7] }));
    let mut log = WriteAheadLog::new(4096);
    assert!(
        log.load_segment(1, json!(entries)),
        "an entry of a later version must not prevent loading"
    );
    assert_eq!(
        log.replay().starts["i-000231"].len(),
        3,
        "the other entries of the segment must be read"
    );
    // A compaction rewrites the segment and must keep the entry.
    for number in 2..8 {
        assert!(log.load_segment(number, json!([])));
    }
    log.push(LogEntry::Released("i-000008".into()));
    let append = log
        .take_append(4, 0, |e| Some(e.clone()))
        .expect("entries are pending");
    assert!(
        append.segments.contains(&(1, None)),
        "the oldest segment must be compacted"
    );
    let written = format!("{:?}", append.segments);
    assert!(written.contains("later"), "the entry is lost: {written}");
    // A malformed entry must be refused, because the machines and tasks that it names are
    // unknown.
    assert!(!WriteAheadLog::new(4096).load_segment(1, json!([{ "s": ["i-000231"] }])));
    assert!(!WriteAheadLog::new(4096).load_segment(1, json!(["s"])));
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let pairs = hex.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("text"), 16);
    pairs.map(|pair| byte(pair).expect("hex")).collect()
}

fn next_frame(stream: &mut &[u8]) -> Frame {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let frame = runtime.expect("a runtime").block_on(read_frame(stream));
    frame.expect("a frame")
}

#[test]
fn frames_of_production_are_read_and_written_unchanged() {
    let mut count = 0;
    for line in FRAMES.lines() {
        let sent = decode_hex(line);
        let frame = next_frame(&mut sent.as_slice());
        let mut written = Vec::new();
        encode(&frame, &mut written).expect("writable");
        assert_eq!(written, sent, "{frame:?}");
        count += 1;
    }
    assert_eq!(count, 9, "the fixture must have every kind of frame and request");
}

#[test]
fn a_frame_of_unknown_kind_is_skipped() {
    let mut stream = vec![0, 0, 0, 3, 200, 1, 2];
    let known: Vec<u8> = FRAMES.lines().take(1).flat_map(decode_hex).collect();
    stream.extend(known);
    let frame = next_frame(&mut stream.as_slice());
    assert_eq!(
        frame,
        Frame::Hello {
            host: "heron-1".into()
        }
    );
}

#[test]
fn without_announced_limits_the_current_limits_apply() {
    let limits = deployment_settings().cluster.state;
    assert_eq!(
        (limits.max_value_bytes(), limits.max_transaction_changes()),
        (4096, 12)
    );
    assert_eq!(
        (limits.max_requests_per_s(), limits.max_changes_per_s()),
        (200.0, 100.0)
    );
}
