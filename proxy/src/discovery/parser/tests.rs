//! Tests of the watch parser.

use super::*;

/// Parses `text`, received in pieces of `piece` bytes. Returns the version and the number of
/// entries of each list.
fn parse(text: &str, piece: usize) -> Result<Vec<(u64, usize)>, String> {
    let mut parser = ListParser::default();
    let mut lists = Vec::new();
    for piece in text.as_bytes().chunks(piece) {
        let mut on_list = |list: EndpointList| lists.push((list.version, list.endpoints.len()));
        parser
            .read(piece, &mut on_list)
            .map_err(|e| e.to_string())?;
    }
    Ok(lists)
}

#[test]
fn objects_are_parsed_in_one_line_or_in_many_however_they_are_split() {
    let endpoint = r#"{"host":"a}\"{]","dial":"127.0.0.1:1","health":"Ready","more":[{}]}"#;
    let flat = format!(r#"{{"seq":1,"whole":true,"hosts":[{endpoint},{endpoint}]}}"#);
    let value: serde_json::Value = serde_json::from_str(&flat).expect("an object");
    let indented = serde_json::to_string_pretty(&value).expect("text");
    let text = format!("\n{flat}\n\n{indented}\r\n\n{flat}{indented}\n");
    for piece in 1..=text.len() {
        assert_eq!(
            parse(&text, piece),
            Ok(vec![(1, 2); 4]),
            "in pieces of {piece}"
        );
    }
}

#[test]
fn bytes_that_are_no_list_are_an_error_at_once() {
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
