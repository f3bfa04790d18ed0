//! The little JSON that the store needs: reading fields of a body, and keeping the content as text.

/// Returns the raw text of a field of a JSON object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip_blanks(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_blanks(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = value_end(bytes, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_blanks(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_blanks(bytes, at + 1);
        let end = value_end(bytes, at)?;
        if key == name {
            return Some(&object[at..end]);
        }
        at = skip_blanks(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at = skip_blanks(bytes, at + 1);
    }
    None
}

/// Returns a field that is a string without escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let raw = field(object, name)?;
    raw.strip_prefix('"')?.strip_suffix('"')
}

pub fn number(object: &str, name: &str) -> Option<u64> {
    field(object, name)?.parse().ok()
}

fn skip_blanks(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// The end of the value that starts at `at`.
fn value_end(bytes: &[u8], at: usize) -> Option<usize> {
    let mut depth = 0usize;
    let mut in_text = false;
    let mut index = at;
    while let Some(byte) = bytes.get(index) {
        if in_text {
            match byte {
                b'\\' => index += 1,
                b'"' => {
                    in_text = false;
                    if depth == 0 {
                        return Some(index + 1);
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_text = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return Some(index),
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return Some(index + 1);
                    }
                }
                b',' if depth == 0 => return Some(index),
                byte if depth == 0 && byte.is_ascii_whitespace() => return Some(index),
                _ => {}
            }
        }
        index += 1;
    }
    (depth == 0 && !in_text).then_some(index)
}
