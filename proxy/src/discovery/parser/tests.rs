//! Tests of the watch parser.

use super::*;

/// Parses `text`, received in pieces of `piece_size` bytes. Returns the version and the number of
/// entries of each list.
fn parse(text: &str, piece_size: usize) -> Result<Vec<(u64, usize)>, String> {
    let mut parser = ListParser::default();
    let mut lists = Vec::new();
    for piece in text.as_bytes().chunks(piece_size) {
        let mut on_list = |list: EndpointList| lists.push((list.version, list.endpoints.len()));
        parser
            .feed(piece, &mut on_list)
            .map_err(|e| e.to_string())?;
    }
    Ok(lists)
}

#[test]
fn lists_are_parsed_whatever_their_line_breaks_and_however_reads_split_them() {
    let endpoint = r#"{"host":"a}\"{]","dial":"127.0.0.1:1","health":"Ready","more":[{}]}"#;
    let one_line = format!(r#"{{"seq":1,"whole":true,"hosts":[{endpoint},{endpoint}]}}"#);
    let value: serde_json::Value = serde_json::from_str(&one_line).expect("an object");
    let indented = serde_json::to_string_pretty(&value).expect("text");
    let text = format!("\n{one_line}\n\n{indented}\r\n\n{one_line}{indented}\n");
    for piece_size in 1..=text.len() {
        assert_eq!(
            parse(&text, piece_size),
            Ok(vec![(1, 2); 4]),
            "in pieces of {piece_size} bytes"
        );
    }
}

#[test]
fn input_that_cannot_become_an_endpoint_list_is_rejected_without_waiting_for_more() {
    for text in [
        "x",
        "}",
        "7",
        "{}",
        "[{}]",
        "\"{\"",
        "{\"seq\":1,\"whole\":true,\"hosts\":7}",
        "{]",
    ] {
        assert!(parse(text, 1).is_err(), "{text}");
    }
    assert_eq!(
        parse("{\"seq\":", 3),
        Ok(Vec::new()),
        "an incomplete object is no error, as the rest may follow"
    );
    assert!(
        parse(&"[".repeat(MAX_OBJECT_BYTES + 1), 1 << 16).is_err(),
        "an object above the maximum size is an error"
    );
}
