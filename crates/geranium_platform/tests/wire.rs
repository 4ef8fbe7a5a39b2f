//! The JSON of etcd's gateway, as its documentation shows it.

use bytes::Bytes;
use geranium_platform::etcd::wire::{
    Base64, Compare, EventType, Int64, KeyValue, PutRequest, RangeRequest, RangeResponse,
    RequestOp, StreamMessage, TxnRequest, TxnResponse, WatchResponse, prefix_end,
};
use serde_json::json;

#[test]
fn a_range_request_has_base64_keys_and_leaves_out_an_empty_end() {
    let single = RangeRequest {
        key: Base64::from_text("foo"),
        range_end: Base64::default(),
    };
    let prefix = RangeRequest {
        key: Base64::from_text("foo"),
        range_end: Base64(prefix_end(b"foo")),
    };

    assert_eq!(
        serde_json::to_value(&single).unwrap(),
        json!({"key": "Zm9v"})
    );
    assert_eq!(
        serde_json::to_value(&prefix).unwrap(),
        json!({"key": "Zm9v", "range_end": "Zm9w"})
    );
}

#[test]
fn a_transaction_has_integers_as_strings() {
    let txn = TxnRequest {
        compare: vec![Compare {
            result: "EQUAL".to_owned(),
            target: "MOD".to_owned(),
            key: Base64::from_text("foo"),
            mod_revision: Int64(3),
        }],
        success: vec![RequestOp {
            request_put: Some(PutRequest {
                key: Base64::from_text("foo"),
                value: Base64::from_text("bar"),
                lease: Int64(7_587_822_882_731_655_429),
            }),
            ..RequestOp::default()
        }],
        failure: Vec::new(),
    };

    let value = serde_json::to_value(&txn).unwrap();

    let compare = json!({"result": "EQUAL", "target": "MOD", "key": "Zm9v", "mod_revision": "3"});
    let put = json!({"key": "Zm9v", "value": "YmFy", "lease": "7587822882731655429"});
    assert_eq!(
        value,
        json!({"compare": [compare], "success": [{"request_put": put}], "failure": []})
    );
}

#[test]
fn camel_case_names_are_understood() {
    let text = r#"{"compare":[{"target":"MOD","key":"Zm9v","modRevision":"2"}],
        "success":[{"requestPut":{"key":"Zm9v","value":"YmFy"}}]}"#;

    let txn: TxnRequest = serde_json::from_str(text).expect("documented form");

    assert_eq!(txn.compare[0].mod_revision, Int64(2));
    let put = txn.success[0].request_put.as_ref().expect("a put");
    assert_eq!(put.value, Base64(Bytes::from_static(b"bar")));
}

#[test]
fn answers_with_unknown_and_left_out_fields_are_understood() {
    let range = r#"{"header":{"cluster_id":"12585971608760269493",
        "member_id":"13847567121247652255","revision":"2","raft_term":"3"},
        "kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1",
        "value":"YmFy"}],"count":"1"}"#;
    let empty = r#"{"header":{"revision":"2"}}"#;
    let failed = r#"{"header":{"revision":"2"},"responses":[{"response_range":{"header":
        {"revision":"2"}}}]}"#;

    let range: RangeResponse = serde_json::from_str(range).expect("documented form");
    let empty: RangeResponse = serde_json::from_str(empty).expect("documented form");
    let failed: TxnResponse = serde_json::from_str(failed).expect("documented form");

    let kv = KeyValue {
        key: Base64::from_text("foo"),
        mod_revision: Int64(2),
        value: Base64::from_text("bar"),
        lease: Int64(0),
    };
    assert_eq!(range.kvs, [kv]);
    assert_eq!(empty.kvs, []);
    assert!(!failed.succeeded);
}

#[test]
fn messages_of_a_watch_are_understood() {
    let put = r#"{"result":{"header":{"revision":"2"},"events":[{"kv":{"key":"Zm9v",
        "mod_revision":"2","value":"YmFy"}}]}}"#;
    let delete = r#"{"result":{"header":{"revision":"3"},"events":[{"type":"DELETE",
        "kv":{"key":"Zm9v","mod_revision":"3"}}]}}"#;
    let failure = r#"{"error":{"grpc_code":11,"http_code":400,"message":"compacted",
        "http_status":"Bad Request"}}"#;
    let parse = |text| serde_json::from_str::<StreamMessage<WatchResponse>>(text);

    let put = parse(put)
        .expect("documented form")
        .result
        .expect("a result");
    let delete = parse(delete).expect("documented form");
    let failure = parse(failure).expect("documented form");

    assert_eq!(put.events[0].kind, EventType::Put);
    let delete = delete.result.expect("a result");
    assert_eq!(delete.events[0].kind, EventType::Delete);
    assert_eq!(failure.error.expect("a failure").code, 11);
}

#[test]
fn the_end_of_a_prefix_passes_over_bytes_that_cannot_grow() {
    assert_eq!(prefix_end(b"a/"), "a0");
    assert_eq!(prefix_end(b"a\xff"), "b");
    assert_eq!(prefix_end(b"\xff"), &[0][..]);
    assert_eq!(prefix_end(b""), &[0][..]);
}
