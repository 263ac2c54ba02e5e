//! Tests of reading sessions against a model of the key-value service.

mod common;

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use oriolecleat_core::gateway::Call;
use oriolecleat_core::gateway::Session;
use oriolecleat_core::gateway::Update;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::prop_oneof;
use proptest::proptest;
use serde_json::Value;
use serde_json::json;

#[derive(Clone, Debug)]
enum Step {
    Put(u8, u8),
    Delete(u8),
    Compact,
    Cut,
    Read,
}

#[derive(Default)]
struct Model {
    log: Vec<(u64, String, Option<String>)>,
    revision: u64,
    compacted: u64,
}

impl Model {
    fn change(&mut self, key: u8, value: Option<u8>) {
        self.revision += 1;
        let value = value.map(|value| value.to_string());
        self.log
            .push((self.revision, format!("entries/{key}"), value));
    }

    fn live(&self) -> BTreeMap<String, (u64, String)> {
        let mut live = BTreeMap::new();
        for (revision, key, value) in &self.log {
            match value {
                Some(value) => live.insert(key.clone(), (*revision, value.clone())),
                None => live.remove(key),
            };
        }
        live
    }

    fn range(&self) -> Value {
        let pair = |(key, (revision, value)): (String, (u64, String))| {
            json!({ "key": STANDARD.encode(key), "value": STANDARD.encode(value),
                "mod_revision": revision.to_string() })
        };
        let kvs: Vec<Value> = self.live().into_iter().map(pair).collect();
        json!({ "header": { "revision": self.revision.to_string() }, "kvs": kvs })
    }

    // A message has at most two events, but its header always has the newest revision.
    fn lines(&self, start: u64) -> Vec<Value> {
        let header = json!({ "revision": self.revision.to_string() });
        let mut lines = vec![json!({ "result": { "header": header, "created": true } })];
        if start <= self.compacted {
            lines.push(json!({ "result": { "header": header, "canceled": true,
                "compact_revision": self.compacted.to_string() } }));
            return lines;
        }
        let events: Vec<Value> = self
            .log
            .iter()
            .filter(|(revision, ..)| *revision >= start)
            .map(|(revision, key, value)| {
                let mut kv = json!({ "key": STANDARD.encode(key),
                    "mod_revision": revision.to_string() });
                match value {
                    Some(value) => {
                        kv["value"] = STANDARD.encode(value).into();
                        json!({ "kv": kv })
                    }
                    None => json!({ "type": "DELETE", "kv": kv }),
                }
            })
            .collect();
        for chunk in events.chunks(2) {
            lines.push(json!({ "result": { "header": header, "events": chunk } }));
        }
        lines.push(json!({ "result": { "header": header } }));
        lines
    }
}

type View = BTreeMap<String, (u64, String)>;

fn apply(view: &mut View, update: Update) {
    if update.snapshot_revision.is_some() {
        view.clear();
    }
    for change in update.changes {
        match change.value {
            Some(value) => view.insert(change.key.into(), (change.revision, value.into())),
            None => view.remove(&*change.key),
        };
    }
}

// Makes four calls, which is enough to catch up, and reads the first `limit` lines of each watch.
fn read(model: &Model, session: &mut Session, view: &mut View, limit: usize) {
    for _ in 0..4 {
        match session.next_call() {
            Call::Range(_) => {
                let body = model.range().to_string();
                apply(view, session.apply_range(body.as_bytes()).expect("a range"));
            }
            Call::Watch(body) => {
                let request: Value = serde_json::from_str(&body).expect("a request");
                let create = &request["create_request"];
                assert_eq!(create["progress_notify"], true);
                let start = create["start_revision"]
                    .as_str()
                    .and_then(|text| text.parse().ok());
                for line in model
                    .lines(start.expect("a revision"))
                    .into_iter()
                    .take(limit)
                {
                    let line = line.to_string();
                    apply(view, session.apply_line(line.as_bytes()).expect("a line"));
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(common::fixed(64, 256))]

    // Guards against changes that are lost when streams are cut, messages are split or revisions
    // are compacted.
    #[test]
    fn follows_every_change(steps in proptest::collection::vec(
        prop_oneof![
            4 => (0..4_u8, any::<u8>()).prop_map(|(key, value)| Step::Put(key, value)),
            2 => (0..4_u8).prop_map(Step::Delete),
            1 => Just(Step::Compact),
            2 => Just(Step::Cut),
            1 => Just(Step::Read),
        ],
        1..60,
    )) {
        let mut model = Model { revision: 1, ..Model::default() };
        let mut session = Session::new("entries/", "entries0");
        let mut view = View::new();
        for step in steps {
            match step {
                Step::Put(key, value) => model.change(key, Some(value)),
                Step::Delete(key) => model.change(key, None),
                Step::Compact => model.compacted = model.revision,
                Step::Cut => read(&model, &mut session, &mut view, 2),
                Step::Read => read(&model, &mut session, &mut view, usize::MAX),
            }
        }
        read(&model, &mut session, &mut view, usize::MAX);
        prop_assert_eq!(view, model.live());
    }

    // Guards against a panic on any response.
    #[test]
    fn takes_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut session = Session::new("a", "b");
        let _ = session.apply_range(&bytes);
        let _ = session.apply_line(&bytes);
    }
}

// Guards against responses that wrongly confirm the view or are decoded wrongly.
#[test]
fn confirms_only_what_was_seen() {
    struct Case {
        line: &'static str,
        confirmed: Option<bool>,
        ended: bool,
    }
    let cases = [
        Case {
            line: r#"{"result":{"header":{"revision":"7"},"created":true}}"#,
            confirmed: Some(false),
            ended: false,
        },
        Case {
            line: r#"{"result":{"header":{"revision":"7"}}}"#,
            confirmed: Some(true),
            ended: false,
        },
        Case {
            line: r#"{"result":{"header":{"revision":"7"},"canceled":true,"compact_revision":"5"}}"#,
            confirmed: Some(false),
            ended: true,
        },
        Case {
            line: r#"{"result":{"header":{"revision":"-7"}}}"#,
            confirmed: None,
            ended: false,
        },
        Case {
            line: r#"{"error":{"message":"no"}}"#,
            confirmed: None,
            ended: false,
        },
        Case {
            line: r#"{"result":{"header":{"revision":"7"},"events":[{"kv":{"key":"*"}}]}}"#,
            confirmed: None,
            ended: false,
        },
    ];
    for case in cases {
        let mut session = Session::new("a", "b");
        let update = session.apply_line(case.line.as_bytes()).ok();
        assert_eq!(
            update.as_ref().map(|update| update.confirmed),
            case.confirmed,
            "{}",
            case.line
        );
        assert_eq!(
            update.is_some_and(|update| update.ended),
            case.ended,
            "{}",
            case.line
        );
    }
}
