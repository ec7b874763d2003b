package jsonitems

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzObject compares the members with those that encoding/json finds in valid texts.
func FuzzObject(f *testing.F) {
	for _, text := range []string{
		`{}`, `null`, `{"a" : "\\", "\u0062":[1,2], "c":{"d":"}"}}`, ` {"a": [ 1 , "a\"]" , {"b":[{}]} , null ] } `,
		`{"a"}`, `{"a":[}]}`, `{"a":[1 2]}`, `{"a":1}x`, `{"a":["\\\""]}`, `{"a":[1,]}`, `{"a":null,"a":[]}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		members, err := Object(text)
		var want map[string]json.RawMessage
		if json.Unmarshal(text, &want) != nil {
			return
		}
		must.NoError(t, err)
		var again []Member
		must.NoError(t, Members(text, func(key, value []byte) { again = append(again, Member{Key: string(key), Value: value}) }))
		must.Eq(t, len(members), len(again))
		for i, m := range again {
			must.Eq(t, members[i].Key, m.Key)
			must.Eq(t, string(members[i].Value), string(m.Value))
		}
		got := map[string]Member{}
		for _, m := range members {
			got[m.Key] = m
		}
		for key, m := range got {
			if value, ok := want[key]; ok { // encoding/json replaces invalid UTF-8 in keys
				must.Eq(t, string(value), string(m.Value))
				compareElements(t, m)
			}
		}
	})
}

func compareElements(t *testing.T, m Member) {
	if !m.IsArray {
		must.SliceEmpty(t, m.Elements)
		return
	}
	var want []json.RawMessage
	must.NoError(t, json.Unmarshal(m.Value, &want))
	must.SliceLen(t, len(want), m.Elements)
	var again [][]byte
	must.NoError(t, Elements(m.Value, func(value []byte) { again = append(again, value) }))
	must.SliceLen(t, len(want), again)
	for i := range want {
		must.Eq(t, string(want[i]), string(m.Elements[i]))
		must.Eq(t, string(want[i]), string(again[i]))
	}
}

// array returns the elements of an array.
func array(t *testing.T, text string) [][]byte {
	members, err := Object([]byte(`{"a":` + text + `}`))
	must.NoError(t, err)
	must.True(t, members[0].IsArray)
	return members[0].Elements
}

// The depth of an item does not count against the text: encoding/json reads 10,000 levels.
func TestDepthOfAnItem(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	items := array(t, `[1,`+deep+`,{"a":2}]`)
	must.SliceLen(t, 3, items)
	must.Eq(t, deep, string(items[1]))
}

func TestTextsThatCannotBeSplit(t *testing.T) {
	for _, text := range []string{
		``, `1`, `[]`, `{"a"}`, `{"a":}`, `{"a":1,}`, `{1:2}`, `{"a":1`, `{"a":[`, `{"a":[1`, `{"a":[1,]}`, `{"a":[1 2]}`, `{"a":[[}]}`, `{"a":["x]}`, `{"a":[1]]}`, `{}{}`,
	} {
		_, err := Object([]byte(text))
		must.ErrorIs(t, err, ErrSyntax, must.Sprint(text))
	}
	for _, text := range []string{``, `1`, `[]`, `{"a"}`, `{"a":}`, `{"a":1,}`, `{1:2}`, `{"a":1`, `{"a":[`, `{"a":[[}]}`, `{"a":["x]}`, `{"a":[1]]}`, `{}{}`} {
		must.ErrorIs(t, Members([]byte(text), func(_, _ []byte) {}), ErrSyntax, must.Sprint(text))
	}
	for _, text := range []string{``, `1`, `{}`, `[1,]`, `[1 2]`, `[1`, `[[}]`, `["x]`, `[]]`} {
		must.ErrorIs(t, Elements([]byte(text), func([]byte) {}), ErrSyntax, must.Sprint(text))
	}
}

func TestUnchangedItemsAreTakenOver(t *testing.T) {
	var c Cache[*int]
	decode := func(raw []byte) (*int, error) {
		var n *int
		err := json.Unmarshal(raw, &n)
		return n, err
	}
	failed := 0
	first, decoded := c.Decode(array(t, `[1,2,"x",3]`), decode, func([]byte, error) { failed++ })
	must.Eq(t, 4, decoded)
	must.Eq(t, 1, failed)
	must.SliceLen(t, 3, first)
	second, decoded := c.Decode(array(t, `[3,5,1]`), decode, func([]byte, error) { failed++ })
	must.Eq(t, 1, decoded)
	must.True(t, second[0] == first[2] && second[2] == first[0])
}
