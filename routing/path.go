package routing

import "strings"

// PathOf returns the path of a request target as routes are matched against it. It is the path as the caller sent it, without the query
// and with nothing decoded, since an encoded slash is data and no delimiter (RFC 3986, section 2.2); only the hexadecimal digits of
// encoded bytes become upper case. Dot segments and empty segments stay. A target without a path, such as http://host, has the path "/".
func PathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if scheme, rest, isAbsolute := strings.Cut(path, "://"); isAbsolute && (strings.EqualFold(scheme, "http") || strings.EqualFold(scheme, "https")) {
		_, afterHost, hasPath := strings.Cut(rest, "/")
		if !hasPath {
			return "/"
		}
		path = "/" + afterHost
	}
	if path == "" {
		return "/"
	}
	return upperCaseEncoding(path)
}

// upperCaseEncoding returns the path with the hexadecimal digits of encoded bytes in upper case.
func upperCaseEncoding(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	out := []byte(path)
	for i := 0; i+2 < len(out); i++ {
		if out[i] == '%' && isHex(out[i+1]) && isHex(out[i+2]) {
			copy(out[i+1:i+3], strings.ToUpper(string(out[i+1:i+3])))
			i += 2
		}
	}
	return string(out)
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}
